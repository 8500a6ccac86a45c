"""Check that every module of the program, the benchmarks and the demo imports."""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def list_modules():
    """Return the dotted names of all modules that must be importable."""
    folders = {"src": "wagtailstep", ".": "benchmarks", "examples": "."}
    names = []
    for base, package in folders.items():
        top = ROOT / base
        for path in sorted((top / package).rglob("*.py")):
            parts = path.relative_to(top).with_suffix("").parts
            names.append(".".join(part for part in parts if part != "__init__"))
    return names


def main():
    """Import all modules; print those that fail and return the exit code."""
    sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "examples")]
    failed = 0
    for name in list_modules():
        try:
            importlib.import_module(name)
        except Exception as error:
            failed += 1
            print(f"{name}: {type(error).__name__}: {error}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Check that every module imports and that daemons load nothing that they never use.

The modules are those of the program, the benchmarks and the demo.
"""

import importlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_SETTINGS = {
    "daemon": {
        "daemon_id": "a",
        "availability_zone": "a",
        "service": "a",
        "caller_address": "127.0.0.1:1",
        "gate_address": "127.0.0.1:2",
        "announce_address": "127.0.0.1:3",
        "peer_address": "127.0.0.1:4",
    },
    "store": {"address": "127.0.0.1:5"},
}
LIST_PLATFORM_MODULES = """
import sys
from wagtailstep.platform.program import main
sys.argv = ["platform", "check"]
try:
    main()
except SystemExit as end:
    assert not end.code, end.code
print(*sys.modules, sep=chr(10))
"""
UNUSED_BY_PLATFORM = ("argparse", "fire", "termcolor")


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


def list_platform_modules():
    """Return the modules that the program on the platform loads for a command."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "settings.json")
        file.write_text(json.dumps(PLATFORM_SETTINGS))
        run = subprocess.run(
            [sys.executable, "-c", LIST_PLATFORM_MODULES],
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "WAGTAILSTEP_NODE_FILE": str(file),
            },
            capture_output=True,
            text=True,
            check=True,
        )
    return set(run.stdout.splitlines())


def find_unused_modules():
    """Return the modules that a daemon on the platform loads but never uses."""
    return sorted(list_platform_modules().intersection(UNUSED_BY_PLATFORM))


def main():
    """Run all checks; print what fails and return the exit code."""
    sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "examples")]
    failed = 0
    for name in list_modules():
        try:
            importlib.import_module(name)
        except Exception as error:
            failed += 1
            print(f"{name}: {type(error).__name__}: {error}")
    for name in find_unused_modules():
        failed += 1
        print(f"a daemon on the platform loads {name}, which it never uses")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

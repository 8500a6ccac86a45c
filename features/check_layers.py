"""Check the layers: who may import whom, and how long a module may be."""

import ast
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "src" / "wagtailstep"
MAX_LINES = 400
FORBIDDEN = {
    "utils": {"models", "controllers", "network", "commands", "cli", "fakes"},
    "models": {"controllers", "network", "commands", "cli", "fakes"},
    "controllers": {"network", "commands", "cli", "fakes"},
    "network": {"commands", "cli", "fakes"},
    "commands": {"cli"},
    "fakes": {"commands", "cli"},
}
IO_MODULES = {"asyncio", "socket", "zmq", "blacksheep", "uvicorn", "h11", "time"}


def imported_modules(tree):
    """Yield the absolute names of all modules that a tree imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def check_module(path):
    """Return the faults of one module, as lines of text."""
    layer = path.relative_to(PACKAGE).parts[0]
    text = path.read_text()
    faults = []
    if text.count("\n") > MAX_LINES:
        faults.append(f"{path}: longer than {MAX_LINES} lines")
    for name in set(imported_modules(ast.parse(text))):
        parts = name.split(".")
        if parts[0] == "wagtailstep" and len(parts) > 1:
            if parts[1] in FORBIDDEN.get(layer, set()):
                faults.append(f"{path}: {layer} may not import {name}")
        if layer in ("controllers", "models") and parts[0] in IO_MODULES:
            faults.append(f"{path}: {layer} may not import {name}")
    return faults


def main():
    """Print all faults and return the exit code."""
    faults = []
    for path in sorted(PACKAGE.rglob("*.py")):
        faults.extend(check_module(path))
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

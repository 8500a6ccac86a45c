"""Check which layers may import which, and the length of each module."""

import ast
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "src" / "wagtailstep"
MAX_LINES = 400
FORBIDDEN = {
    "utils": {"models", "controllers", "network", "commands", "cli", "fakes"},
    "models": {"controllers", "network", "commands", "cli", "fakes"},
    "accounts": {"controllers", "network", "commands", "cli", "fakes"},
    "scheduling": {"network", "commands", "cli", "fakes"},
    "hedging": {"network", "commands", "cli", "fakes"},
    "controllers": {"network", "commands", "cli", "fakes"},
    "network": {"commands", "cli", "fakes"},
    "commands": {"cli"},
    "fakes": {"commands", "cli"},
    "cli": set(),
}
# Names of the platform's interface; only its adapter may contain them.
ADAPTER = "platform"
MAX_ADAPTER_LINES = 800
PLATFORM_NAMES = ("keyed.op", "log-append", "log-read", "log-newest", "warmup-left")
PURE_LAYERS = {"accounts", "controllers", "hedging", "models", "scheduling"}
IO_MODULES = {"asyncio", "socket", "zmq", "blacksheep", "uvicorn", "h11", "time"}


def imported_modules(tree):
    """Yield the absolute names of all modules that a syntax tree imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def check_module(path):
    """Return the violations found in one module, as lines of text."""
    layer = path.relative_to(PACKAGE).parts[0]
    text = path.read_text()
    violations = []
    if text.count("\n") > MAX_LINES:
        violations.append(f"{path}: longer than {MAX_LINES} lines")
    if layer != ADAPTER:
        violations += [f"{path}: knows {n!r}" for n in PLATFORM_NAMES if n in text]
    for name in set(imported_modules(ast.parse(text))):
        parts = name.split(".")
        if layer != ADAPTER and parts[:2] == ["wagtailstep", ADAPTER]:
            violations.append(f"{path}: only the platform's program imports {name}")
        if parts[0] == "wagtailstep" and len(parts) > 1:
            if parts[1] in FORBIDDEN.get(layer, set()):
                violations.append(f"{path}: {layer} may not import {name}")
        if layer in PURE_LAYERS and parts[0] in IO_MODULES:
            violations.append(f"{path}: {layer} may not import {name}")
    return violations


def main():
    """Print all violations and return the exit code."""
    violations = []
    for path in sorted(PACKAGE.rglob("*.py")):
        violations.extend(check_module(path))
    # The stand-in is a test double and not part of the adapter.
    lines = sum(
        path.read_text().count("\n")
        for path in (PACKAGE / ADAPTER).glob("*.py")
        if path.name != "stand_in.py"
    )
    if lines > MAX_ADAPTER_LINES:
        violations.append(
            f"{PACKAGE / ADAPTER}: {lines} lines, {MAX_ADAPTER_LINES} allowed"
        )
    for violation in violations:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

"""Check that every module imports and what a daemon on the platform loads.

The modules are those of the program, the benchmarks and the demo. A daemon must load
nothing that it never uses, and compile nothing.
"""

import importlib
import importlib.util
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

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
RUN_PLATFORM_CHECK = """
import gc
import sys
from wagtailstep.platform.__main__ import main
sys.argv = ["platform", "check"]
try:
    main()
except SystemExit as end:
    assert not end.code, end.code
print(gc.get_freeze_count(), *sys.modules, sep=chr(10))
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


def check_platform_start():
    """Start the program on the platform; return a line for each fault."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "settings.json")
        file.write_text(json.dumps(PLATFORM_SETTINGS))
        run = subprocess.run(
            [sys.executable, "-c", RUN_PLATFORM_CHECK],
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "WAGTAILSTEP_NODE_FILE": str(file),
            },
            capture_output=True,
            text=True,
            check=True,
        )
    # The first line of the output is from the program, for the operator.
    _, frozen, *modules = run.stdout.splitlines()
    faults = [
        f"a daemon on the platform loads {name}, which it never uses"
        for name in UNUSED_BY_PLATFORM
        if name in modules
    ]
    if frozen == "0":
        faults.append("a daemon on the platform collects its imports while it serves")
    return faults


def find_uncompiled_modules():
    """Run the build of the deployment; return the modules left without bytecode.

    The build finds its dependencies up to date, so it installs none.
    """
    with tempfile.TemporaryDirectory() as folder:
        top = pathlib.Path(folder)
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "src", top / "src", ignore=ignore)
        shutil.copytree(ROOT / "deploy", top / "deploy")
        (top / "target" / "deps").mkdir(parents=True)
        build = tomllib.loads((top / "deploy" / "system.toml").read_text())["build"]
        interpreters = str(pathlib.Path(sys.executable).parent)
        path = os.pathsep.join((interpreters, os.environ["PATH"]))
        subprocess.run(
            build, shell=True, cwd=top, env={**os.environ, "PATH": path}, check=True
        )
        package = top / "target" / "deps" / "wagtailstep"
        return [
            str(module.relative_to(package))
            for module in sorted(package.rglob("*.py"))
            if not has_bytecode(module)
        ]


def has_bytecode(module):
    """Return whether the interpreter will load a module without compiling it."""
    bytecode = pathlib.Path(importlib.util.cache_from_source(module))
    if not bytecode.exists():
        return False
    modified_at = int(module.stat().st_mtime)
    header = b"".join(
        number.to_bytes(4, "little")
        for number in (0, modified_at, module.stat().st_size)
    )
    return bytecode.read_bytes()[:16] == importlib.util.MAGIC_NUMBER + header


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
    for fault in check_platform_start():
        failed += 1
        print(fault)
    for name in find_uncompiled_modules():
        failed += 1
        print(f"{name}: the build leaves no bytecode, so each start compiles it")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

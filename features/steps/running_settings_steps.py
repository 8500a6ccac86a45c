"""Steps for the settings that a running daemon takes over from a changed file."""

import asyncio
import contextlib
import copy
import logging
import pathlib
import random

from behave import then
from benchmarks.soak.fleet import SoakDaemon

from wagtailstep.commands import reload_settings
from wagtailstep.commands.read_settings import structure_settings
from wagtailstep.commands.reload_settings import SettingsReloader
from wagtailstep.network.memory_channel import MemoryNetwork
from wagtailstep.platform.settings import PlatformSettings


def list_settings(value, prefix=""):
    """Yield the name and the value of each setting, with dots between levels."""
    for name, each in value.items():
        if isinstance(each, dict) and prefix + name != "bounds":
            yield from list_settings(each, f"{prefix}{name}.")
        elif prefix + name == "bounds":
            yield "bounds.grace", each["grace"]
        else:
            yield prefix + name, each


def read_documented_settings(path):
    """Return whether each setting is taken over, from the table in a document."""
    lines = pathlib.Path(path).read_text().splitlines()
    start = lines.index("| setting | taken over while running | if not, why |")
    documented = {}
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        names, taken_over = (cell.strip() for cell in line.split("|")[1:3])
        for name in names.split(", "):
            documented[name.strip("`")] = taken_over == "yes"
    return documented


def change_setting(settings, name, value):
    """Return a copy of rendered settings with another valid value of one of them."""
    changed = copy.deepcopy(settings)
    *parents, last = name.split(".")
    inner = changed
    for parent in parents:
        inner = inner[parent]
    if isinstance(value, bool):
        inner[last] = not value
    elif isinstance(value, (int, float)):
        inner[last] = value / 2 if isinstance(value, float) else value + 1
    else:
        others = {"bounds.grace": "30s", "daemon.membership.member_source": "stream"}
        # The last character of an address is a digit of its port.
        other_end = "1" if value[-1] != "1" else "2"
        inner[last] = others.get(name, value[:-1] + other_end)
    return changed


def reload_changed(context, changed):
    """Return the line that is logged when a running daemon reads changed settings."""
    current = [context.rendered]

    def reread_settings():
        return structure_settings(current[0], PlatformSettings, "rendered")

    async def create_reloader():
        network = MemoryNetwork(random.Random(1))
        daemon = SoakDaemon(reread_settings(), network)
        return SettingsReloader(
            reread_settings(), reread_settings, daemon.apply_settings
        )

    reloader = asyncio.run(create_reloader())
    current[0] = changed
    with capture_lines(reload_settings.LOGGER) as lines:
        reloader.reload()
        reloader.reload()
    return lines


@contextlib.contextmanager
def capture_lines(logger):
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


@then('each of its settings is taken over from a changed file as "{path}" says')
def check_documented(context, path):
    documented = read_documented_settings(path)
    settings = dict(list_settings(context.rendered))
    assert documented.keys() == settings.keys(), documented.keys() ^ settings.keys()
    for name, value in settings.items():
        changed = change_setting(context.rendered, name, value)
        (first, _) = reload_changed(context, changed)
        assert f"needs_restart={not documented[name]}" in first, (name, first)


@then("a change that is not taken over is logged once with its name")
def check_logged_name(context):
    name = "daemon.caller_address"
    value = context.rendered["daemon"]["caller_address"]
    changed = change_setting(context.rendered, name, value)
    first, second = reload_changed(context, changed)
    assert "not_applied=caller_address" in first, first
    assert "not_applied" not in second, second

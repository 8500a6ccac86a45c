"""Steps for the settings of the daemon."""

import json
import logging
import pathlib

from behave import given, then, when

from wagtailstep.commands.read_settings import read_settings, structure_settings
from wagtailstep.commands.reload_settings import SettingsReloader
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import DaemonSettings

EXAMPLE = pathlib.Path("examples/daemon.json")


@then('the file "{path}" holds valid daemon settings')
def check_example(context, path):
    assert read_settings(path, DaemonSettings).daemon_id == "contracts-1"


@given('the annotated example without "{key}"')
def drop_key(context, key):
    context.raw = json.loads(EXAMPLE.read_text())
    del context.raw[key]


@given("the annotated example with {change}")
def change_example(context, change):
    context.raw = {**json.loads(EXAMPLE.read_text()), **json.loads(change)}


@then('it is refused with one line that contains "{text}"')
def check_refused(context, text):
    try:
        structure_settings(context.raw, DaemonSettings, "daemon.json")
    except SettingsError as error:
        assert text in str(error), str(error)
        assert "\n" not in str(error)
    else:
        raise AssertionError("the settings were accepted")


class Lines(logging.Handler):
    """Keep what is logged."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        self.texts.append(record.getMessage())


def keep_lines(context):
    context.lines = Lines()
    logger = logging.getLogger("wagtailstep.commands.reload_settings")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    level = logger.level
    # The level of all loggers is what these steps change.
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.setLevel, level)


@given('a daemon started with log level "{level}"')
def start_with_level(context, level):
    context.raw = {**json.loads(EXAMPLE.read_text()), "log_level": level}
    root = logging.getLogger()
    context.add_cleanup(root.setLevel, root.level)
    root.setLevel(level)
    keep_lines(context)


@when("its settings file gets {change} and is checked {count:d} times")
def check_file(context, change, count):
    def reread_settings():
        return structure_settings(context.raw, DaemonSettings, "daemon.json")

    reloader = SettingsReloader(reread_settings(), reread_settings)
    reloader.reload_if_changed()
    context.raw = {**context.raw, **json.loads(change)}
    for _ in range(count):
        reloader.reload_if_changed()


@then('one line says "{text}"')
@then('one line says ""')
def check_one_line(context, text=""):
    expected = 1 if text else 0
    assert len(context.lines.texts) == expected, context.lines.texts
    assert all(text in line for line in context.lines.texts), context.lines.texts


@then('the log level is "{level}"')
def check_level(context, level):
    assert logging.getLogger().level == getattr(logging, level)

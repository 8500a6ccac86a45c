"""Steps for the settings of the daemon."""

import json
import logging
import pathlib
import sys

from behave import given, then, when

from wagtailstep.commands.read_settings import read_settings, structure_settings
from wagtailstep.commands.reload_settings import SettingsReloader
from wagtailstep.exceptions import SettingsError
from wagtailstep.models.settings import DaemonSettings

EXAMPLE = pathlib.Path("examples/daemon.json")


@then('the file "{path}" contains valid daemon settings')
def check_example(context, path):
    assert read_settings(path, DaemonSettings).daemon_id == "contracts-1"


@given('the annotated example without "{key}"')
def remove_key(context, key):
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


class LogCapture(logging.Handler):
    """Collect the messages that are logged."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


def capture_log(context):
    context.log_capture = LogCapture()
    logger = logging.getLogger("wagtailstep.commands.reload_settings")
    logger.addHandler(context.log_capture)
    context.add_cleanup(logger.removeHandler, context.log_capture)
    level = logger.level
    # These steps change the root level, so this logger gets its own.
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.setLevel, level)


@given('a daemon started with log level "{level}"')
def start_with_level(context, level):
    context.raw = {**json.loads(EXAMPLE.read_text()), "log_level": level}
    root = logging.getLogger()
    context.add_cleanup(root.setLevel, root.level)
    root.setLevel(level)
    capture_log(context)


@when("its settings file is changed by {change} and checked {count:d} times")
def check_file(context, change, count):
    def reread_settings():
        return structure_settings(context.raw, DaemonSettings, "daemon.json")

    reloader = SettingsReloader(reread_settings(), reread_settings)
    reloader.reload_if_changed()
    context.raw = {**context.raw, **json.loads(change)}
    for _ in range(count):
        reloader.reload_if_changed()


@when("its settings file is checked {count:d} times while compilations are counted")
def count_compilations(context, count):
    def reread_settings():
        return structure_settings(context.raw, DaemonSettings, "daemon.json")

    def record_call(frame, event, function):
        if event == "c_call" and function is compile:
            context.compilations += 1

    reloader = SettingsReloader(reread_settings(), reread_settings)
    context.compilations = 0
    previous_profiler = sys.getprofile()
    sys.setprofile(record_call)
    try:
        for _ in range(count):
            reloader.reload_if_changed()
    finally:
        sys.setprofile(previous_profiler)


@then("no code was compiled")
def check_compilations(context):
    assert context.compilations == 0, context.compilations


@then('one line is logged that contains "{text}"')
@then('one line is logged that contains ""')
def check_one_line(context, text=""):
    expected = 1 if text else 0
    assert len(context.log_capture.messages) == expected, context.log_capture.messages
    assert all(text in line for line in context.log_capture.messages), (
        context.log_capture.messages
    )


@then('the log level is "{level}"')
def check_level(context, level):
    assert logging.getLogger().level == getattr(logging, level)

"""Steps for the settings of the daemon."""

import json
import pathlib

from behave import given, then

from wagtailstep.commands.read_settings import read_settings, structure_settings
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

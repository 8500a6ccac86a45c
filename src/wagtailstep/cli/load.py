"""The program ``wagtailstep-load``."""

import asyncio
import pathlib
import sys

from tqdm import tqdm

from wagtailstep.cli import status_codes
from wagtailstep.cli.run import run_program
from wagtailstep.commands.read_settings import read_settings
from wagtailstep.commands.report_load import draw_results, format_results
from wagtailstep.models.load_results import SideResult
from wagtailstep.models.load_settings import LoadSettings
from wagtailstep.network.load_generator import LoadGenerator
from wagtailstep.utils.clock import LoopClock


def run(file: str, picture: str = "") -> int:
    """Send a load to one system, or to two for comparison, and print a report.

    Exit codes: 0 the load was sent, 2 a setting is invalid.

    :param file: path of the JSON settings of the load.
    :param picture: path of a PNG chart to write; no chart if empty.
    """
    settings = read_settings(str(file), LoadSettings)
    sides = asyncio.run(run_load(settings))
    print(format_results(sides))
    if picture:
        draw_results(sides, pathlib.Path(picture))
    return status_codes.SUCCESS


async def run_load(settings: LoadSettings) -> list[SideResult]:
    """Send a load and show a progress bar on standard error."""
    steps = settings.slices * len(settings.sides)
    # ``disable=None`` hides the bar unless standard error is a terminal.
    with tqdm(total=steps, unit="slice", disable=None) as progress:
        player = LoadGenerator(settings, LoopClock(), progress.update)
        return await player.run()


def check(file: str) -> int:
    """Validate the settings of a load without sending requests.

    Exit codes: 0 the settings are valid, 2 a setting is invalid.

    :param file: path of the JSON settings of the load.
    """
    settings = read_settings(str(file), LoadSettings)
    names = " and ".join(side.name for side in settings.sides)
    seconds = settings.slices * settings.slice_s * len(settings.sides)
    print(f"ok: {seconds:g} s of load at {names}")
    return status_codes.SUCCESS


def main() -> None:
    """Run the program."""
    sys.exit(run_program({"check": check, "run": run}, "wagtailstep-load"))


if __name__ == "__main__":
    main()

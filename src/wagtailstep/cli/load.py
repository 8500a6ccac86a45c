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
from wagtailstep.network.load_player import LoadPlayer
from wagtailstep.utils.clock import LoopClock


def run(file: str, picture: str = "") -> int:
    """Play a load at one system, or at two to compare them, and report.

    Exit codes: 0 the load was played, 2 a setting is wrong.

    :param file: path of the JSON settings of the load.
    :param picture: path of a PNG to write; none if empty.
    """
    settings = read_settings(str(file), LoadSettings)
    sides = asyncio.run(run_load(settings))
    print(format_results(sides))
    if picture:
        draw_results(sides, pathlib.Path(picture))
    return status_codes.SUCCESS


async def run_load(settings: LoadSettings) -> list[SideResult]:
    """Play a load with a progress bar on standard error."""
    steps = settings.slices * len(settings.sides)
    # Shown on terminals only.
    with tqdm(total=steps, unit="slice", disable=None) as progress:
        player = LoadPlayer(settings, LoopClock(), progress.update)
        return await player.play()


def check(file: str) -> int:
    """Check the settings of a load and send nothing.

    Exit codes: 0 they are right, 2 a setting is wrong.

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

"""Load test reports as text and as charts."""

import pathlib
from collections.abc import Sequence

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.load_results import (
    ClassResult,
    SideResult,
    combine_results,
    compare_sides,
)

ALL = "all"
PERCENTILES = (50.0, 99.0)
HEADER = (
    f"{'side':<12} {'class':<16} {'asked':>7} {'in aim':>7} {'served':>7} "
    f"{'refused':>8} {'failed':>7} {'gave up':>8} {'p50 ms':>8} {'p99 ms':>8}"
)


def format_results(sides: Sequence[SideResult]) -> str:
    """Format the results of a load as a table; compare the sides if there are two."""
    lines = [HEADER]
    for side in sides:
        totals = side.total()
        for name, result in {**totals, ALL: combine_results(totals)}.items():
            lines.append(format_row(side.name, name, result))
    if len(sides) == 2:
        lines.append(format_difference(*sides))
    return "\n".join(lines)


def format_row(side: str, name: str, result: ClassResult) -> str:
    """Format one row of the table."""
    p50, p99 = (result.latency_ms(percentile) for percentile in PERCENTILES)
    return (
        f"{side:<12} {name:<16} {result.asked:>7} {result.goodput:>7.3f} "
        f"{result.served:>7} {result.refused:>8} {result.failed:>7} "
        f"{result.gave_up:>8} {p50:>8.1f} {p99:>8.1f}"
    )


def format_difference(first: SideResult, second: SideResult) -> str:
    """Format the goodput difference of the second side to the first."""
    difference = compare_sides(first, second)
    verdict = "clear" if difference.is_significant else "within chance"
    return (
        f"goodput of {second.name} less that of {first.name}: "
        f"{difference.mean:+.4f} +/- {difference.margin:.4f} ({verdict}, "
        f"{len(first.slices)} paired slices)"
    )


def draw_results(sides: Sequence[SideResult], path: pathlib.Path) -> None:
    """Plot goodput by slice and latency by percentile.

    :param path: path of the PNG to write.
    :raises SettingsError: if matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise SettingsError(
            "charts need matplotlib; install wagtailstep[load]"
        ) from error
    figure = Figure(figsize=(10, 4), layout="constrained")
    goodput_axes, latency_axes = figure.subplots(1, 2)
    for side in sides:
        goodput_axes.plot(side.goodputs(), marker="o", label=side.name)
        latencies = combine_results(side.total())
        percentiles = [*range(1, 100), 99.5, 99.9]
        values = [latencies.latency_ms(percentile) for percentile in percentiles]
        latency_axes.plot(percentiles, values, label=side.name)
    goodput_axes.set(xlabel="slice", ylabel="share answered in aim", ylim=(0, 1.02))
    latency_axes.set(xlabel="percentile", ylabel="latency (ms)", yscale="log")
    goodput_axes.legend()
    figure.savefig(path, format="png")

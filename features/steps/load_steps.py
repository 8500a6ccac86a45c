"""Steps for the load tool."""

import asyncio
import json
import pathlib
import tempfile

import attrs
import detangle
from behave import given, then, when
from programs_steps import run_program

from wagtailstep.commands.report_load import draw_results, format_results
from wagtailstep.controllers.load_plan import order_sides, plan_slice
from wagtailstep.fakes.backend_server import BackendServer, BackendServerSettings
from wagtailstep.models.load_results import combine_results
from wagtailstep.models.load_settings import (
    ArrivalSettings,
    LoadClass,
    LoadSettings,
    LoadSide,
)
from wagtailstep.network.load_generator import LoadGenerator
from wagtailstep.utils.clock import LoopClock

ADDRESSES = {"old": "127.0.0.1:9001", "new": "127.0.0.1:9002"}
SIDES = [LoadSide(name, [address]) for name, address in ADDRESSES.items()]
LOOKUP = LoadClass("lookup", path="/lookup/1", headers={"fake-work-ms": "100"})
BEHAVIOURS = {
    "lose patience": {"give_up_ms": 50, "give_up_share": 0.5},
    "come back at once": {"retries": 2, "waits_as_told": False},
    "come back when told": {"retries": 1},
}


@given(
    "a load of {rate:d} requests a second in slices of {seconds:d} s with the shape "
    '"{shape}"'
)
def set_load(context, rate, seconds, shape):
    arrivals = ArrivalSettings(float(rate), shape)
    context.settings = LoadSettings(SIDES, [LOOKUP], arrivals, slice_s=seconds)


@when("its arrivals are generated")
def generate_arrivals(context):
    context.arrivals = plan_slice(context.settings, 0)


@then("between {low:d} and {high:d} of them arrive from second {start:d} to {end:d}")
def check_arrivals(context, low, high, start, end):
    count = sum(start <= arrival.at_s < end for arrival in context.arrivals)
    assert low <= count <= high, count


@then("the arrivals of a slice are the same each time they are generated")
def check_same(context):
    first = plan_slice(context.settings, 3)
    assert first == plan_slice(context.settings, 3)


@then("the arrivals of another slice differ")
def check_differ(context):
    assert plan_slice(context.settings, 3) != plan_slice(context.settings, 4)


@then('the sides run in the order "{first}" and then "{second}"')
def check_order(context, first, second):
    orders = [order_sides(context.settings, number) for number in (0, 1)]
    assert orders == [[int(n) for n in text.split()] for text in (first, second)]


@given('backend servers "old" with {old:d} slots and "new" with {new:d} slots')
def set_servers(context, old, new):
    context.slots = {"old": old, "new": new}


def run_load(context, settings):
    async def main():
        servers = []
        for name, address in ADDRESSES.items():
            slots = context.slots[name]
            changes = BackendServerSettings("contracts", address, slots=slots)
            servers.append(BackendServer(changes))
            await servers[-1].start()
        context.sides = await LoadGenerator(settings, LoopClock()).run()
        await asyncio.sleep(5)
        for server in servers:
            await server.stop()

    detangle.run(main, seed=1)
    context.report = format_results(context.sides)


@when("a load of {rate:d} requests a second with work of {work:d} ms runs against both")
def run_uniform_load(context, rate, work):
    load_class = attrs.evolve(LOOKUP, headers={"fake-work-ms": str(work)}, aim_ms=400)
    arrivals = ArrivalSettings(float(rate))
    run_load(
        context, LoadSettings(SIDES, [load_class], arrivals, slices=4, slice_s=5.0)
    )


@when("callers that {behaviour} run a load of {rate:d} requests a second against both")
def run_callers(context, behaviour, rate):
    load_class = attrs.evolve(LOOKUP, **BEHAVIOURS[behaviour])
    arrivals = ArrivalSettings(float(rate))
    run_load(
        context, LoadSettings(SIDES, [load_class], arrivals, slices=2, slice_s=5.0)
    )


def total_result(context, name):
    (side,) = [side for side in context.sides if side.name == name]
    return combine_results(side.total())


@then('"new" answers at least {high:d} % within the aim and "old" at most {low:d} %')
def check_goodput(context, high, low):
    assert total_result(context, "new").goodput * 100 >= high, context.report
    assert total_result(context, "old").goodput * 100 <= low, context.report


@then('the report says "{first}" and "{second}"')
def check_report(context, first, second):
    last = context.report.splitlines()[-1]
    assert first in last and second in last, context.report


@then('some requests are counted as "{ended}"')
def check_ended(context, ended):
    total = total_result(context, "old")
    assert getattr(total, ended) > 0, context.report
    counted = total.served + total.refused + total.failed + total.gave_up
    assert total.asked == counted, context.report


@then("its chart is a PNG image")
def check_chart(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "load.png"
        draw_results(context.sides, path)
        assert path.read_bytes().startswith(b"\x89PNG")


@given("load settings with {key} {value}")
def write_settings(context, key, value):
    settings = {
        "sides": [{"name": "old", "addresses": ["127.0.0.1:1"]}],
        "classes": [{"name": "lookup"}],
        key: json.loads(value),
    }
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "load.json"
    context.path.write_text(json.dumps(settings))


@when('the program "load" checks these settings')
def check_settings(context):
    run_program(context, "load", ["check", str(context.path)])

"""Open-loop load generator: sends on schedule, however many requests are in flight."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from http import HTTPStatus

import attrs

from wagtailstep.controllers.load_plan import Arrival, order_sides, plan_slice
from wagtailstep.exceptions import RequestError
from wagtailstep.models.headers import TIMEOUT_MS, find_header
from wagtailstep.models.load_results import ClassResult, SideResult
from wagtailstep.models.load_settings import LoadClass, LoadSettings
from wagtailstep.models.settings import RequestSettings
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.callbacks import do_nothing
from wagtailstep.utils.clock import Clock

# Lets the error that a daemon sends at the request's time limit still arrive.
TIMEOUT_MARGIN = timedelta(milliseconds=500)
REFUSAL_STATUSES = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Reply:
    """Outcome of sending a request once.

    :param status: HTTP status; 0 if there was no complete response.
    :param retry_after_s: delay in seconds after which a refusal says to retry.
    """

    status: int
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class LoadGenerator:
    """Send a load to the sides under comparison, one slice and side at a time.

    :param settings: the load.
    :param clock: used to schedule and time requests.
    :param on_slice: called after each slice of each side.
    """

    def __init__(
        self,
        settings: LoadSettings,
        clock: Clock,
        on_slice: Callable[[], None] = do_nothing,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.on_slice = on_slice
        self.client = HttpClient(RequestSettings(), clock)
        self.rng = random.Random(settings.seed)
        self.sides = [SideResult(side.name) for side in settings.sides]

    async def run(self) -> list[SideResult]:
        """Run all slices and return the results of each side."""
        for number in range(self.settings.slices):
            arrivals = plan_slice(self.settings, number)
            for index in order_sides(self.settings, number):
                results = await self.run_slice(arrivals, index)
                self.sides[index].slices.append(results)
                self.on_slice()
        self.client.close()
        return self.sides

    async def run_slice(
        self, arrivals: list[Arrival], index: int
    ) -> dict[str, ClassResult]:
        """Run a slice against one side and wait until all its requests have ended."""
        results = {
            request_class.name: ClassResult() for request_class in self.settings.classes
        }
        started = self.clock.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                due = started + timedelta(seconds=arrival.at_s)
                wait = due - self.clock.monotonic()
                await asyncio.sleep(max(0.0, wait.total_seconds()))
                is_measured = arrival.at_s >= self.settings.warmup_s
                result = (
                    results[arrival.request_class.name]
                    if is_measured
                    else ClassResult()
                )
                group.create_task(self.run_arrival(arrival, index, due, result))
        return results

    async def run_arrival(
        self, arrival: Arrival, index: int, due: timedelta, result: ClassResult
    ) -> None:
        """Send one request with retries and early cancellation, and count its outcome.

        :param due: monotonic time when the request was scheduled; its latency is
            measured from there.
        :param result: where the outcome is counted.
        """
        result.asked += 1
        request_class = arrival.request_class
        cancel_after_s = None
        if arrival.cancels_early:
            cancel_after_s = request_class.give_up_ms / 1_000
        try:
            async with asyncio.timeout(cancel_after_s):
                reply = await self.send_with_retries(arrival, index)
        except TimeoutError:
            result.gave_up += 1
            return
        latency_ms = (self.clock.monotonic() - due) / timedelta(milliseconds=1)
        if 200 <= reply.status < 300:
            result.add_served(latency_ms, request_class.aim_ms)
        elif reply.status in REFUSAL_STATUSES:
            result.refused += 1
        else:
            result.failed += 1

    async def send_with_retries(self, arrival: Arrival, index: int) -> Reply:
        """Send a request, and retry it after refusals as often as its class allows."""
        request_class = arrival.request_class
        addresses = self.settings.sides[index].addresses
        address = addresses[int(arrival.daemon_draw * len(addresses))]
        reply = await self.send_once(address, request_class)
        for _ in range(request_class.retries):
            if reply.status not in REFUSAL_STATUSES:
                break
            if request_class.waits_as_told:
                await asyncio.sleep(reply.retry_after_s)
            reply = await self.send_once(self.rng.choice(addresses), request_class)
        return reply

    async def send_once(self, address: str, request_class: LoadClass) -> Reply:
        """Send a request once."""
        time_left = timedelta(milliseconds=request_class.timeout_ms)
        try:
            response = await self.client.send(
                build_request(address, request_class, time_left)
            )
            status, headers = response.status, response.headers
            await read_complete_body(response)
        except RequestError:
            return Reply(0)
        return Reply(status, parse_retry_after(find_header(headers, "retry-after")))


def build_request(
    address: str, request_class: LoadClass, time_left: timedelta
) -> HttpRequest:
    """Build one request of a class."""
    headers = (
        (TIMEOUT_MS, str(request_class.timeout_ms)),
        *request_class.headers.items(),
    )
    if find_header(headers, "host") is None:
        headers = (("host", address), *headers)
    body = None
    if request_class.body_bytes:
        headers = (*headers, ("content-length", str(request_class.body_bytes)))
        body = yield_padding(request_class.body_bytes)
    return HttpRequest(
        address=address,
        method=request_class.method,
        path=request_class.path,
        headers=headers,
        body=body,
        idempotent=request_class.method == "GET",
        time_left=time_left + TIMEOUT_MARGIN,
    )


async def yield_padding(size: int) -> AsyncIterator[bytes]:
    """Yield a request body of the given size."""
    yield b"x" * size


def parse_retry_after(text: str | None) -> float:
    """Return the seconds given by ``Retry-After``, or the default without a number."""
    try:
        return float(text or "")
    except ValueError:
        return DEFAULT_RETRY_AFTER_S

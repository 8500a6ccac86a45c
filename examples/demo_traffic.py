"""Send the requests of the demo's callers and check every response."""

import asyncio
import random
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
import xxhash

from wagtailstep.exceptions import RequestError, TruncatedAnswerError
from wagtailstep.models.exchange import Answer
from wagtailstep.models.headers import find_header
from wagtailstep.models.settings import RequestSettings
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.bodies import read_complete_body
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_connection import HttpRequest
from wagtailstep.utils.clock import LoopClock

TIMEOUT = timedelta(seconds=8)
MAX_DAEMONS_TRIED = 3
UPLOAD_BYTES = 262_144
CHUNK_BYTES = 16_384
MAX_ANSWERED_STATUS = 499


@attrs.frozen
class SendOutcome:
    """How one send of a request ended for its caller.

    :param key: the caller's identifier of the request.
    :param verdict: verdict of the daemon; empty if the response has none.
    :param reason: reason of a refusal; empty if a backend server responded.
    :param started_s: time of the event loop when it was sent.
    :param ended_s: time of the event loop when its response was complete.
    """

    key: str
    verdict: str
    reason: str
    started_s: float
    ended_s: float


@attrs.define
class CallerCounts:
    """Counts and latencies that the callers of a service recorded.

    :param requests: requests sent.
    :param answered: those with a complete response of a backend server.
    :param refused: those that got no successful response of a backend server, by the
        reason.
    :param wrong_answers: responses that belong to another request, or that are
        truncated although they were delivered as complete.
    :param interrupted: requests whose connection broke after they were sent.
    :param interruption_details: daemon and error of each of them.
    :param outcomes: outcome of each send of a non-idempotent request.
    :param non_idempotent: keys of all non-idempotent requests.
    :param fleet_ms: latencies of lookups through the fleet, in milliseconds.
    :param direct_ms: latencies of lookups sent directly to a backend server.
    """

    requests: int = 0
    answered: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    wrong_answers: int = 0
    interrupted: int = 0
    interruption_details: list[str] = attrs.field(factory=list)
    outcomes: list[SendOutcome] = attrs.field(factory=list)
    non_idempotent: set[str] = attrs.field(factory=set)
    fleet_ms: list[float] = attrs.field(factory=list)
    direct_ms: list[float] = attrs.field(factory=list)

    def record_interrupted(self, entry: str, error: RequestError) -> None:
        """Record a request whose connection to a daemon broke."""
        self.interrupted += 1
        self.interruption_details.append(f"{entry}: {error.reason}: {error}")


@attrs.frozen
class CallerRequest:
    """One request of a caller.

    :param key: the caller's identifier of the request; the response must repeat it.
    :param method: HTTP method.
    :param path: path at the backend server.
    :param body: complete body.
    :param headers: further headers.
    """

    key: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class CallerGroup:
    """Send requests for one service through several daemons.

    :param service: name of the service.
    :param entries: caller addresses of daemons.
    :param backends: addresses of backend servers, for direct lookups.
    :param seed: seed of all random choices.
    """

    def __init__(
        self, service: str, entries: list[str], backends: list[str], seed: int
    ) -> None:
        self.service = service
        self.entries = entries
        self.backends = backends
        self.rng = random.Random(f"{seed}/{service}")
        self.client = HttpClient(RequestSettings(), LoopClock())
        self.counts = CallerCounts()
        self.serial = 0

    async def run(self, rate: float, stop: asyncio.Event) -> None:
        """Send requests with Poisson arrivals until stopped; wait for all to end.

        :param rate: mean requests per second.
        """
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                group.create_task(self.send_random_request())
                next_at += self.rng.expovariate(rate)
                await asyncio.sleep(max(0.0, next_at - loop.time()))

    async def send_random_request(self) -> None:
        """Send one request of a random type."""
        senders = (
            self.send_lookup,
            self.send_upload,
            self.sign_with_ticket,
            self.sign_with_key,
        )
        sender = self.rng.choices(senders, weights=(70, 10, 10, 10))[0]
        await sender()

    def create_key(self) -> str:
        """Return a new identifier of a request."""
        self.serial += 1
        return f"{self.service}-{self.serial}"

    async def send_lookup(self) -> None:
        """Send an idempotent lookup, and half of the time also a direct one."""
        caller_request = CallerRequest(self.create_key(), "GET", "/lookup/today")
        loop = asyncio.get_running_loop()
        started = loop.time()
        if await self.send(caller_request):
            self.counts.fleet_ms.append((loop.time() - started) * 1_000)
        if self.rng.random() < 0.5:
            await self.send_direct_lookup()

    async def send_direct_lookup(self) -> None:
        """Send a lookup directly to a backend server, to compare latencies."""
        caller_request = CallerRequest(self.create_key(), "GET", "/lookup/today")
        loop = asyncio.get_running_loop()
        started = loop.time()
        address = self.rng.choice(self.backends)
        try:
            answer = await self.client.send(self.build_request(caller_request, address))
            await read_complete_body(answer)
        except RequestError:
            return
        if answer.status <= MAX_ANSWERED_STATUS:
            self.counts.direct_ms.append((loop.time() - started) * 1_000)

    async def send_upload(self) -> None:
        """Send an idempotent upload."""
        size = self.rng.randrange(1, UPLOAD_BYTES)
        await self.send(
            CallerRequest(
                self.create_key(), "PUT", "/upload/rider", self.rng.randbytes(size)
            )
        )

    async def sign_with_ticket(self) -> None:
        """Send a non-idempotent request with a ticket, sometimes twice."""
        entry = self.rng.choice(self.entries)
        request = self.build_request(
            CallerRequest("", "POST", f"/.wagtailstep/tickets/{self.service}"), entry
        )
        try:
            answer = await self.client.send(request)
            ticket = (await read_complete_body(answer)).decode().split('"')[3]
        except (RequestError, IndexError):
            return
        await self.send_signing_request(ticket)

    async def sign_with_key(self) -> None:
        """Send a non-idempotent request with an idempotency key, sometimes twice."""
        await self.send_signing_request(
            f"key-{self.service}-{self.rng.getrandbits(64):x}"
        )

    async def send_signing_request(self, idempotency_key: str) -> None:
        """Send a non-idempotent request; 30 % go to two daemons at the same time."""
        key = self.create_key()
        self.counts.non_idempotent.add(key)
        headers = (("idempotency-key", idempotency_key),)
        caller_request = CallerRequest(
            key, "POST", "/sign/deposit", b"amount=100", headers
        )
        times = 2 if self.rng.random() < 0.3 else 1
        await asyncio.gather(*(self.send(caller_request) for _ in range(times)))

    async def send(self, caller_request: CallerRequest) -> bool:
        """Send a request to a random daemon, or to the next if it surely didn't run.

        :return: whether a backend server responded successfully.
        """
        self.counts.requests += 1
        started = asyncio.get_running_loop().time()
        for entry in self.rng.sample(self.entries, MAX_DAEMONS_TRIED):
            request = self.build_request(caller_request, entry)
            try:
                answer = await self.client.send(request)
                body = await read_complete_body(answer)
            except TruncatedAnswerError as error:
                # The error is reported correctly, but planned changes must not
                # interrupt a transfer.
                self.counts.record_interrupted(entry, error)
                return False
            except RequestError as error:
                if error.verdict is Verdict.NOT_RUN:
                    continue
                self.counts.record_interrupted(entry, error)
                return False
            ended = asyncio.get_running_loop().time()
            self.record_outcome(caller_request, answer, started, ended)
            return self.record_answer(caller_request, answer, body)
        self.counts.refused["no-daemon"] = self.counts.refused.get("no-daemon", 0) + 1
        return False

    def record_outcome(
        self,
        caller_request: CallerRequest,
        answer: Answer,
        started_s: float,
        ended_s: float,
    ) -> None:
        """Record the outcome of one send of a non-idempotent request."""
        if caller_request.method != "POST":
            return
        verdict = find_header(answer.headers, "wagtailstep-verdict") or ""
        reason = find_header(answer.headers, "wagtailstep-reason") or ""
        self.counts.outcomes.append(
            SendOutcome(caller_request.key, verdict, reason, started_s, ended_s)
        )

    def record_answer(
        self, caller_request: CallerRequest, answer: Answer, body: bytes
    ) -> bool:
        """Count one response.

        :return: whether a backend server responded successfully.
        """
        reason = find_header(answer.headers, "wagtailstep-reason")
        if reason is not None:
            self.counts.refused[reason] = self.counts.refused.get(reason, 0) + 1
            return False
        if answer.status > MAX_ANSWERED_STATUS:
            self.counts.refused["status-500"] = (
                self.counts.refused.get("status-500", 0) + 1
            )
            return False
        self.counts.answered += 1
        if not is_expected_answer(caller_request, answer, body):
            self.counts.wrong_answers += 1
        return True

    def build_request(self, caller_request: CallerRequest, address: str) -> HttpRequest:
        """Build the HTTP request for a daemon or a backend server."""
        headers = (
            ("host", address),
            ("wagtailstep-service", self.service),
            ("wagtailstep-timeout-ms", str(int(TIMEOUT.total_seconds() * 1_000))),
            ("content-length", str(len(caller_request.body))),
            ("fake-key", caller_request.key),
            *caller_request.headers,
        )
        return HttpRequest(
            address=address,
            method=caller_request.method,
            path=caller_request.path,
            headers=headers,
            body=iterate_chunks(caller_request.body),
            idempotent=caller_request.method != "POST",
            time_left=TIMEOUT + timedelta(seconds=1),
        )


def is_expected_answer(
    caller_request: CallerRequest, answer: Answer, body: bytes
) -> bool:
    """Return whether a response is complete and belongs to a request."""
    digest = find_header(answer.headers, "fake-body-digest")
    return (
        find_header(answer.headers, "fake-key") == caller_request.key
        and body == f"{caller_request.key}\n".encode()
        and digest == xxhash.xxh64(caller_request.body).hexdigest()
    )


async def iterate_chunks(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body in chunks."""
    for start in range(0, len(data), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]

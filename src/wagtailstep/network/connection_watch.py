"""Detection of pooled connections that drop all packets without an error.

A middlebox between two daemons may forget a connection, so that nothing sent over it
arrives. If a pooled connection brings no response for a while, the entry queries the
gate over a new connection for the state of the attempt. A gate that has not seen the
attempt blocks it for good; then it was certainly not run, may be sent again, and only
the connection is to blame.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from wagtailstep.exceptions import ConnectionFailedError, RequestError
from wagtailstep.models.exchange import Answer
from wagtailstep.models.gate import AttemptState
from wagtailstep.models.headers import GATE_ID
from wagtailstep.models.request import Blame
from wagtailstep.models.verdict import Verdict
from wagtailstep.network.deadlines import handle_arrivals
from wagtailstep.network.http_connection import HttpConnection, HttpRequest
from wagtailstep.utils.codec import DECODE_FAILURES

QUERY_TIMEOUT = timedelta(milliseconds=500)
# Within this time the gate still knows every attempt that has arrived, so "not seen"
# proves that it was not run. Later the gate may have forgotten it.
MAX_PROOF_AGE = timedelta(seconds=30)
REVOCATION_PATH = "/.wagtailstep/revocations/"

Send = Callable[[HttpRequest], Awaitable[Answer]]


class AttemptStateAnswer(msgspec.Struct):
    """Response of a gate to a query about an attempt.

    :param state: state of the attempt.
    """

    state: AttemptState


class ConnectionWatch:
    """Watch a pooled connection until the head of the response arrives.

    :param connection: the connection; it is failed if it lost the request.
    :param request: the request that was sent over it.
    :param send: sends a query over another connection.
    :param on_unreachable: called with the address of a gate that can't be queried.
    """

    def __init__(
        self,
        connection: HttpConnection,
        request: HttpRequest,
        send: Send,
        on_unreachable: Callable[[str], None],
    ) -> None:
        self.connection = connection
        self.request = request
        self.send = send
        self.on_unreachable = on_unreachable
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.task: asyncio.Task[None] | None = None
        self.interval = request.silence_timeout.total_seconds()
        self.timer = self.loop.call_later(self.interval, self.start_queries)

    def start_queries(self) -> None:
        """Start to query the gate, since the response head has not arrived in time."""
        self.task = asyncio.create_task(self.query_repeatedly())

    def stop(self) -> None:
        """Stop the timer and the queries."""
        self.timer.cancel()
        if self.task is not None:
            self.task.cancel()

    async def query_repeatedly(self) -> None:
        """Query the gate until the connection is known to have lost data."""
        while True:
            state = await self.query_attempt_state()
            error = self.assess_state(state)
            if error is not None:
                await handle_arrivals()
                self.connection.fail(error)
                return
            await asyncio.sleep(self.interval)

    async def query_attempt_state(self) -> AttemptState | None:
        """Return the state of the attempt, or ``None`` if the gate can't be queried."""
        query = HttpRequest(
            address=self.connection.address,
            method="POST",
            path=REVOCATION_PATH + self.request.attempt_id,
            headers=((GATE_ID, self.connection.gate_id),),
            body=None,
            idempotent=False,
            time_left=QUERY_TIMEOUT,
        )
        try:
            answer = await self.send(query)
            data = b"".join([chunk async for chunk in answer.body])
            return msgspec.json.decode(data, type=AttemptStateAnswer).state
        except (RequestError, *DECODE_FAILURES):
            self.on_unreachable(self.connection.address)
            return None

    def assess_state(self, state: AttemptState | None) -> ConnectionFailedError | None:
        """Return the error to fail the connection with, or ``None`` to keep it."""
        if state is None or state is AttemptState.HELD:
            return None
        age = timedelta(seconds=self.loop.time() - self.started_at)
        revoked = state is AttemptState.REVOKED and age < MAX_PROOF_AGE
        error = ConnectionFailedError(
            f"connection to {self.connection.address} lost a request or its response",
            Verdict.NOT_RUN if revoked else Verdict.MAY_HAVE_RUN,
        )
        error.blame = Blame.CONNECTION
        return error

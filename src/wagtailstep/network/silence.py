"""Finding connections that have gone silent while new ones work.

Something between two daemons may lose track of a connection: what is sent over it
arrives nowhere, and no error tells. If a kept connection brings no answer for a
while, its entry asks the gate over a new connection what became of the request.
A gate that has not seen it bars it for good and says so; then it certainly was not
run, may be sent again, and only the connection is to blame.
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
from wagtailstep.network.http_connection import HttpConnection, HttpRequest

INQUIRY_TIMEOUT = timedelta(milliseconds=500)
# The gate remembers an attempt for longer, so a later "never seen" proves nothing.
MAX_PROOF_AGE = timedelta(seconds=30)
REVOCATION_PATH = "/.wagtailstep/revocations/"

Send = Callable[[HttpRequest], Awaitable[Answer]]


class AttemptStateAnswer(msgspec.Struct):
    """Answer of a gate about an attempt.

    :param state: value of :class:`wagtailstep.models.gate.AttemptState`.
    """

    state: AttemptState


class SilenceWatch:
    """Watch one exchange on a kept connection until its head arrives.

    :param connection: the connection; broken if it turns out to be silent.
    :param request: the request that was sent over it.
    :param send: sends an inquiry over another connection.
    :param on_unreachable: told the address of a gate that can't be asked.
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
        self.timer = self.loop.call_later(self.interval, self.begin)

    def begin(self) -> None:
        """Start to ask; the head has not arrived in time."""
        self.task = asyncio.create_task(self.ask_repeatedly())

    def stop(self) -> None:
        """End the watch."""
        self.timer.cancel()
        if self.task is not None:
            self.task.cancel()

    async def ask_repeatedly(self) -> None:
        """Ask until the gate says that the connection lost something."""
        while True:
            state = await self.ask()
            error = self.judge(state)
            if error is not None:
                self.connection.fail(error)
                return
            await asyncio.sleep(self.interval)

    async def ask(self) -> AttemptState | None:
        """Return what the gate says, or ``None`` if it can't be asked."""
        inquiry = HttpRequest(
            address=self.connection.address,
            method="POST",
            path=REVOCATION_PATH + self.request.attempt_id,
            headers=((GATE_ID, self.connection.gate_id),),
            body=None,
            idempotent=False,
            time_left=INQUIRY_TIMEOUT,
        )
        try:
            answer = await self.send(inquiry)
            data = b"".join([chunk async for chunk in answer.body])
            return msgspec.json.decode(data, type=AttemptStateAnswer).state
        except (RequestError, msgspec.MsgspecError):
            self.on_unreachable(self.connection.address)
            return None

    def judge(self, state: AttemptState | None) -> ConnectionFailedError | None:
        """Return why the connection is given up, or ``None`` if it is not."""
        if state is None or state is AttemptState.HELD:
            return None
        age = timedelta(seconds=self.loop.time() - self.started_at)
        revoked = state is AttemptState.REVOKED and age < MAX_PROOF_AGE
        error = ConnectionFailedError(
            f"the connection to {self.connection.address} has gone silent",
            Verdict.NOT_RUN if revoked else Verdict.MAY_HAVE_RUN,
        )
        error.blame = Blame.CONNECTION
        return error

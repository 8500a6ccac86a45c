"""Answers to local backend servers that say that they leave."""

import logging
from collections.abc import Callable

from blacksheep import Content, Response

from wagtailstep.network.departure_store import DepartureStore
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
REFUSAL_RETRY_S = 1


class DepartureAnswers:
    """Acknowledge a departure once it is recorded, and refuse to do so before.

    Otherwise this daemon's next process could offer the server again. Without an
    acknowledgement it gets no new work either. A refusal is limited to the time for
    which the store doesn't take the record and to ``MAX_ANNOUNCEMENT_DELAY``.

    :param store: writes the records.
    :param is_settled: returns whether the departures of an instance are recorded, or
        so old that no earlier announcement can arrive.
    """

    def __init__(
        self, store: DepartureStore, is_settled: Callable[[str], bool]
    ) -> None:
        self.store = store
        self.is_settled = is_settled

    async def answer(self, instance_id: str) -> Response:
        """Answer a message that has been dispatched; waits for a limited time."""
        if await self.store.wait_until(lambda: self.is_settled(instance_id)):
            return build_acknowledgement()
        log_event(LOGGER, "departure-not-acknowledged", instance=instance_id)
        response = Response(503)
        response.add_header(b"retry-after", str(REFUSAL_RETRY_S).encode())
        return response


async def acknowledge_at_once(instance_id: str) -> Response:
    """Acknowledge a departure that nothing records."""
    return build_acknowledgement()


def build_acknowledgement() -> Response:
    """Return the response that acknowledges a message of a backend server."""
    return Response(200, None, Content(b"application/json", b"{}"))

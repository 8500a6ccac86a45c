"""Responses that close the connection although their request is still being sent.

Closing a connection that has unread bytes resets it. The reset makes the caller's
system fail its connection, so that the caller may never see the response.
"""

import asyncio
from typing import Any

import h11

# Time for the rest of a request whose response was already written.
LINGER_S = 2
CLOSE_HEADER = (b"connection", b"close")


class EarlyAnswer:
    """Sends a response; if it comes early and closes, reads the request to its end.

    Only the end of the response is held back. Its length is usually announced, so
    that the caller has the complete response before.

    :param state: state of the HTTP exchange.
    :param scope: ASGI scope of the request.
    :param receive: receives the next part of the request, as in ASGI.
    :param send: sends a part of the response, as in ASGI.
    """

    def __init__(
        self, state: h11.Connection, scope: Any, receive: Any, send: Any
    ) -> None:
        self.state = state
        self.receive = receive
        self.inner_send = send
        self.closes = CLOSE_HEADER in scope["headers"]
        self.body_expected = True
        self.written = False

    async def send(self, message: Any) -> None:
        """Send a part of the response."""
        if message["type"] == "http.response.start":
            self.closes |= CLOSE_HEADER in message["headers"]
            self.body_expected = not self.state.they_are_waiting_for_100_continue
        elif not message.get("more_body", False) and self.has_rest():
            await self.inner_send({**message, "more_body": True})
            self.written = True
            message = {**message, "body": b""}
            try:
                await self.skip_request()
            except asyncio.CancelledError:
                await self.inner_send(message)
                raise
        await self.inner_send(message)

    def has_rest(self) -> bool:
        """Return whether the connection closes although a part of a body follows."""
        return (
            self.closes
            and self.body_expected
            and self.state.their_state is h11.SEND_BODY
        )

    async def skip_request(self) -> None:
        """Read the request until its end or a time limit."""
        try:
            async with asyncio.timeout(LINGER_S):
                while self.state.their_state is h11.SEND_BODY:
                    if (await self.receive())["type"] == "http.disconnect":
                        return
        except TimeoutError:
            pass

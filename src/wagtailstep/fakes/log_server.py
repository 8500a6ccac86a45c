"""Serves the stand-in for the log service over HTTP/1.1."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import attrs
import msgspec
import uvicorn
from blacksheep import Application, Content, Request, Response, Router

from wagtailstep.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordExpiredError,
    SettingsError,
)
from wagtailstep.fakes.log_service import InMemoryLogService, LogFaults
from wagtailstep.models.log_wire import (
    AppendReply,
    ReadReply,
    RecordReply,
    StreamReply,
)
from wagtailstep.utils.clock import LoopClock

UNANSWERED_HOLD_S = 20.0


def _json(status: int, body: Any) -> Response:
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, content=content)


async def _append(log: InMemoryLogService, request: Request, stream: str) -> Response:
    data = await request.read() or b""
    try:
        return _json(201, AppendReply(await log.append(stream, data)))
    except LogUnavailableError:
        return _json(503, None)
    except AppendUnknownError:
        await _withhold_response()
        return _json(504, None)


async def _withhold_response() -> None:
    # The server cancels withheld responses at shutdown; that is not an error.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(UNANSWERED_HOLD_S)


async def _read(log: InMemoryLogService, request: Request, stream: str) -> Response:
    offset = int(request.query["offset"][0])
    limit = int(request.query["limit"][0])
    try:
        batch = await log.read(stream, offset, limit)
    except LogUnavailableError:
        return await _handle_unavailable_read(log)
    except RecordExpiredError as error:
        return _json(410, StreamReply(error.oldest))
    records = tuple(RecordReply(item.offset, item.data) for item in batch.records)
    return _json(200, ReadReply(records, batch.next_offset, batch.oldest_offset))


async def _describe(log: InMemoryLogService, stream: str) -> Response:
    try:
        return _json(200, StreamReply(await log.oldest_offset(stream)))
    except LogUnavailableError:
        return await _handle_unavailable_read(log)


async def _handle_unavailable_read(log: InMemoryLogService) -> Response:
    if log.faults.silent:
        await _withhold_response()
    return _json(503, None)


async def _set_faults(log: InMemoryLogService, request: Request) -> Response:
    changes = msgspec.json.decode(await request.read() or b"{}")
    try:
        changed = attrs.evolve(log.faults, **changes)
        log.faults = msgspec.convert(attrs.asdict(changed), LogFaults)
    except (TypeError, msgspec.ValidationError) as error:
        return _json(400, str(error))
    return _json(200, log.faults)


def create_application(log: InMemoryLogService) -> Application:
    """Return an HTTP application that serves an in-memory log service."""
    # Without an explicit router, all applications share a global one.
    app = Application(router=Router())

    @app.router.post("/streams/{stream}/records")
    async def append(request: Request, stream: str) -> Response:
        return await _append(log, request, stream)

    @app.router.get("/streams/{stream}/records")
    async def read(request: Request, stream: str) -> Response:
        return await _read(log, request, stream)

    @app.router.get("/streams/{stream}")
    async def describe(stream: str) -> Response:
        return await _describe(log, stream)

    @app.router.get("/faults")
    async def show_faults() -> Response:
        return _json(200, log.faults)

    @app.router.put("/faults")
    async def set_faults(request: Request) -> Response:
        return await _set_faults(log, request)

    return app


async def serve(
    host: str,
    port: int,
    faults: LogFaults | None = None,
    on_started: Callable[[int], None] | None = None,
    stop: asyncio.Event | None = None,
    run_time: timedelta | None = None,
) -> None:
    """Serve the stand-in until a signal, an event or the end of its run time.

    :param port: TCP port; 0 lets the system choose.
    :param on_started: called with the port once requests are accepted.
    :param stop: stops the service when set.
    :param run_time: stops the service after this time.
    :raises SettingsError: if the address can't be bound.
    """
    log = InMemoryLogService(LoopClock(), faults)
    config = uvicorn.Config(
        create_application(log),
        host=host,
        port=port,
        log_level="critical",
        timeout_graceful_shutdown=1,
    )
    server = uvicorn.Server(config)
    stop_task = asyncio.create_task(_stop_when_due(server, on_started, stop, run_time))
    try:
        await server.serve()
    except SystemExit as error:
        raise SettingsError(
            f"can't listen on {host}:{port}; choose another address"
        ) from error
    finally:
        stop_task.cancel()


async def _stop_when_due(
    server: uvicorn.Server,
    on_started: Callable[[int], None] | None,
    stop_event: asyncio.Event | None,
    run_time: timedelta | None,
) -> None:
    while not server.started:
        await asyncio.sleep(0.01)
    if on_started is not None:
        on_started(server.servers[0].sockets[0].getsockname()[1])
    run_time_s = None if run_time is None else run_time.total_seconds()
    try:
        await asyncio.wait_for((stop_event or asyncio.Event()).wait(), run_time_s)
    except TimeoutError:
        pass
    server.should_exit = True

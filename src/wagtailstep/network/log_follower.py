"""Polling reader of a log stream that continues through outages."""

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from wagtailstep.exceptions import LogError, RecordExpiredError
from wagtailstep.models.events import (
    LogCaughtUp,
    LogGap,
    LogRecordsRead,
)
from wagtailstep.models.log import LogBatch, LogService
from wagtailstep.models.settings import LogSettings
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
MAX_BACKOFF_MS = 5_000
READ_LIMIT = 1_000


class LogFollower:
    """Read one stream continuously from its oldest retained record.

    Records are dispatched in order and at most once. A read without further records
    is dispatched as well, since it shows that the end of the stream was reached.

    :param settings: sets the poll interval.
    :param log: the log service.
    :param stream: name of the stream.
    :param dispatch: called with each event.
    :param report_reachability: called after each read with whether the log service
        was reachable.
    :param rng: adds jitter so that the reads of many daemons are spread over time.
    """

    def __init__(
        self,
        settings: LogSettings,
        log: LogService,
        stream: str,
        dispatch: Callable[[Any], None],
        report_reachability: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.log = log
        self.stream = stream
        self.dispatch = dispatch
        self.report_reachability = report_reachability
        self.rng = rng
        self.offset: int | None = None
        self.consecutive_failures = 0
        self.wake_up = asyncio.Event()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            more_to_read = await self.read_once()
            if not more_to_read:
                await self.wait_for_next_read()

    async def read_once(self) -> bool:
        """Read one batch and dispatch it.

        :return: whether to read the next batch without waiting.
        """
        try:
            if self.offset is None:
                self.offset = await self.log.oldest_offset(self.stream)
            requested_at = timedelta(seconds=asyncio.get_running_loop().time())
            batch = await self.log.read(self.stream, self.offset, READ_LIMIT)
        except RecordExpiredError as error:
            self.resume_at_oldest(error.oldest)
            return True
        except LogError as error:
            self.record_failure(error)
            return False
        self.consecutive_failures = 0
        self.report_reachability(True)
        return self.handle_batch(batch, requested_at)

    def resume_at_oldest(self, oldest_offset: int) -> None:
        """Continue at the oldest retained record and dispatch the gap."""
        log_event(
            LOGGER,
            "log-gap",
            logging.WARNING,
            stream=self.stream,
            expected=self.offset,
            oldest=oldest_offset,
        )
        self.offset = oldest_offset
        self.dispatch(LogGap(self.stream, oldest_offset))

    def handle_batch(self, batch: LogBatch, requested_at: timedelta) -> bool:
        """Dispatch a batch and advance the offset.

        :param requested_at: monotonic time when the read was sent.
        :return: whether more records may be available.
        """
        self.offset = batch.next_offset
        if batch.records:
            self.dispatch(LogRecordsRead(self.stream, batch.records))
            return True
        self.dispatch(LogCaughtUp(self.stream, batch.next_offset, requested_at))
        return False

    def record_failure(self, error: LogError) -> None:
        """Count a failed read and report the log service as unreachable."""
        self.consecutive_failures += 1
        self.report_reachability(False)
        if self.consecutive_failures == 1:
            log_event(
                LOGGER,
                "log-unreachable",
                logging.WARNING,
                stream=self.stream,
                error=error,
            )

    async def wait_for_next_read(self) -> None:
        """Wait for the poll interval, with exponential back-off while reads fail."""
        base_ms = self.settings.poll_ms * 2 ** min(self.consecutive_failures, 8)
        wait_ms = min(base_ms, max(MAX_BACKOFF_MS, self.settings.poll_ms))
        wait_ms *= self.rng.uniform(0.75, 1.25)
        try:
            await asyncio.wait_for(self.wake_up.wait(), wait_ms / 1_000)
        except TimeoutError:
            pass
        self.wake_up.clear()

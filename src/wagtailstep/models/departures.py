"""Backend server processes that have announced that they leave."""

from datetime import timedelta

import attrs
import msgspec

from wagtailstep.utils.codec import message

# Announcements are delayed by seconds at most. One that arrives later than this after
# its process left shows that a clock was set back.
MAX_ANNOUNCEMENT_DELAY = timedelta(seconds=10)


class Departure(msgspec.Struct, array_like=True, frozen=True):
    """A process whose earlier announcements no longer count.

    :param target_id: the target that it was announced as.
    :param process_started: start time of the process, or the time of its departure if
        that is all that is known; announcements of processes that did not start later
        are ignored.
    """

    target_id: str
    process_started: int


@attrs.frozen
class SaveDepartures:
    """Effect: bring this daemon's records in the store in line with these departures.

    :param departures: those that still count; the records of all others are removed.
    :param store_era: newest known era of the store, see
        :class:`~wagtailstep.models.keyed_store.KeyedRecords`; -1 if unknown.
    """

    departures: tuple[Departure, ...]
    store_era: int = -1


@attrs.frozen
class DeparturesSaved:
    """A write for a :class:`SaveDepartures` effect has ended.

    :param recorded: the departures whose records the store has acknowledged.
    :param succeeded: whether the write had the intended effect.
    """

    recorded: frozenset[Departure]
    succeeded: bool


@attrs.frozen
class DeparturesListed:
    """The departures that earlier processes of this daemon recorded, read by itself.

    :param departures: the departures.
    """

    departures: tuple[Departure, ...]


@attrs.frozen
class RetryDeparturesRead:
    """Effect: read the records of this daemon now, if that hasn't succeeded yet."""


@attrs.frozen
class LookUpDepartures:
    """Effect: read which departures another daemon has recorded.

    :param request_id: repeated in the :class:`DeparturesLookedUp`.
    :param daemon_id: the other daemon.
    """

    request_id: int
    daemon_id: str


@attrs.frozen
class DeparturesLookedUp:
    """The read for a :class:`LookUpDepartures` effect has ended.

    :param request_id: as in the effect.
    :param departures: all that were recorded when the effect was applied; ``None`` if
        the store can't be read.
    """

    request_id: int
    departures: tuple[Departure, ...] | None


@message
class DeparturesRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the departures that earlier processes of the sender knew of.

    :param daemon_id: the sender.
    :param reply_to: ``host:port`` for the :class:`DepartureReminder`.
    :param process_started: wall-clock start time of the sender's process in
        milliseconds, repeated in the answer.
    :param uptime_ms: time since then.
    """

    daemon_id: str
    reply_to: str
    process_started: int
    uptime_ms: int


@message
class DepartureReminder(msgspec.Struct, array_like=True, frozen=True):
    """Remind a daemon of departures that its earlier process knew of.

    Daemons of older releases send ``departures`` only, and answer no request.

    :param departures: departures of servers beside the receiver.
    :param has_read_all: whether the sender has read all that the store had when the
        receiver requested them.
    :param has_heard_all: whether the sender was in contact with the receiver's earlier
        process until it ended, so that it heard of all departures.
    :param process_started: as in the request; an answer to a request of an earlier
        process may lack later departures.
    """

    departures: tuple[Departure, ...]
    has_read_all: bool = False
    has_heard_all: bool = False
    process_started: int = 0

"""Backend server processes that have announced that they leave."""

from datetime import timedelta

import attrs
import msgspec

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
    """Effect: replace this daemon's record of departures.

    :param departures: those that still count; empty to remove the record.
    """

    departures: tuple[Departure, ...]


@attrs.frozen
class DeparturesSaved:
    """A :class:`SaveDepartures` effect has ended.

    :param succeeded: whether the store has acknowledged the record.
    """

    succeeded: bool


@attrs.frozen
class DeparturesListed:
    """The departures that an earlier process of this daemon recorded.

    :param departures: the departures.
    """

    departures: tuple[Departure, ...]

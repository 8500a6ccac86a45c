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
    """The departures that an earlier process of this daemon recorded.

    :param departures: the departures.
    """

    departures: tuple[Departure, ...]

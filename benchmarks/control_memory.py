"""Measure the memory of the member table and targets that one daemon holds."""

import gc
import random
import tracemalloc

import attrs
import msgspec

from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.events import PeerMessageReceived, Tick
from wagtailstep.models.fleet import Member
from wagtailstep.models.membership import (
    MemberEntry,
    MembersPage,
    TargetEntry,
    TargetsUpdate,
)
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.utils.clock import ManualClock

SERVICES = 460
SERVICES_PER_DAEMON = 9
SERVED_PER_DAEMON = 3
TARGETS_PER_SERVICE = 4
PAGE_SIZE = 40


@attrs.frozen
class MemoryUse:
    """Memory of one daemon's control plane.

    :param members: number of members in its table.
    :param table_bytes: memory allocated for the table and the targets.
    """

    members: int
    table_bytes: int


def build_entry(index: int) -> MemberEntry:
    """Build the member entry of a daemon.

    It is encoded and decoded, so that it uses as much memory as a received one.
    """
    first = index * SERVED_PER_DAEMON
    names = [f"service-{(first + i) % SERVICES:03d}" for i in range(SERVED_PER_DAEMON)]
    wants = [
        f"service-{(first + 7 * i + 11) % SERVICES:03d}"
        for i in range(SERVICES_PER_DAEMON - SERVED_PER_DAEMON)
    ]
    entry = MemberEntry(
        f"daemon-{index:04d}",
        1_767_225_600_000 + index,
        0,
        f"10.{index // 250}.{index % 250}.10:7003",
        f"10.{index // 250}.{index % 250}.10:7002",
        f"zone-{index % 14:02d}",
        tuple(names),
        tuple(wants),
    )
    data = msgspec.msgpack.encode(entry)
    return msgspec.msgpack.decode(data, type=MemberEntry)


def build_update(entry: MemberEntry) -> TargetsUpdate:
    """Build the update that announces the targets beside a daemon."""
    targets = [
        TargetEntry(f"{service}/{entry.daemon_id}.test:{8000 + port}", 4, 1, 1)
        for service in entry.serves
        for port in range(TARGETS_PER_SERVICE)
    ]
    return TargetsUpdate(
        entry.daemon_id,
        entry.availability_zone,
        1,
        0,
        1,
        entry.serves,
        tuple(targets),
    )


def create_filled_controllers(
    members: int,
) -> tuple[MembershipController, DisseminationController]:
    """Create the controllers of a daemon that has received a fleet's members.

    It has also received the targets of the services that it needs.
    """
    settings = DaemonSettings(
        "observed", "bole", "a:1", "a:2", "a:3", "127.0.0.1:4", log_level="ERROR"
    )
    member = Member("observed", 1, "a:3", "a:2", "bole")
    board = Blackboard(member)
    board.requested_services.update(
        f"service-{i:03d}" for i in range(SERVICES_PER_DAEMON)
    )
    clock, rng = ManualClock(), random.Random(1)
    membership = MembershipController(settings, board, clock, rng)
    dissemination = DisseminationController(settings, board, clock, rng)
    for start in range(0, members, PAGE_SIZE):
        entries = tuple(
            build_entry(i) for i in range(start, min(start + PAGE_SIZE, members))
        )
        page = MembersPage("", entries, "")
        membership.handle(PeerMessageReceived("daemon-0000", page))
    dissemination.handle(Tick())
    for index in range(members):
        entry = build_entry(index)
        if entry.daemon_id in dissemination.interest.needed_by_member:
            event = PeerMessageReceived(entry.daemon_id, build_update(entry))
            dissemination.handle(event)
    return membership, dissemination


def measure_memory(members: int) -> MemoryUse:
    """Measure the memory of a member table.

    :param members: number of members in it.
    """
    create_filled_controllers(10)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    controllers = create_filled_controllers(members)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(controllers[0].blackboard.members) == members + 1
    return MemoryUse(members, used)

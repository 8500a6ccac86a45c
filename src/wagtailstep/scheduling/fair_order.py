"""Order of the waiting requests of one backend server: rank, account, due time.

Among the client accounts of one rank, start-time fair queueing by work decides: each
account has a tag that grows by the slot time of its requests, and the lowest tag goes
first. An account that begins to wait starts at the virtual time of its rank, the
highest tag of a started request, so that it can't save up service while it is idle.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from wagtailstep.models.gate import GateRequest

# Fraction of a request's aim after which it is due. 0 orders by arrival; 1 orders by
# the end of the aim, which makes long requests late. The figures are in
# docs/design/queueing.md.
DUE_TIME_RATIO = 0.75
# Work assumed for a route without a known duration, so that its requests count.
MIN_WORK = timedelta(milliseconds=1)
# Bounds the memory of a queue that is never empty while many accounts come and go.
MAX_IDLE_ACCOUNTS = 1_000

Rank = tuple[int, int]
FlowKey = tuple[Rank, str]


@attrs.define
class AccountFlow:
    """Requests of one client account in one rank.

    :param tag: start tag of its next request, in slot time.
    :param waiting: number of its requests that wait.
    :param running: work charged for each of its running requests, by serial.
    """

    tag: timedelta
    waiting: int = 0
    running: dict[int, timedelta] = attrs.field(factory=dict)

    @property
    def is_idle(self) -> bool:
        """Return whether none of its requests waits or runs."""
        return not self.waiting and not self.running


@attrs.define
class FairOrder:
    """Service that client accounts have received at one backend server.

    Requests without an account together form one account.

    :param virtual_times: highest start tag of a started request, by rank.
    :param active: accounts with requests that wait or run.
    :param idle: accounts without such requests that are ahead of the virtual time;
        least recently used first. They are forgotten when no request waits.
    :param waiting: number of waiting requests of all accounts.
    """

    virtual_times: dict[Rank, timedelta] = attrs.field(factory=dict)
    active: dict[FlowKey, AccountFlow] = attrs.field(factory=dict)
    idle: OrderedDict[FlowKey, AccountFlow] = attrs.field(factory=OrderedDict)
    waiting: int = 0

    def sort(
        self,
        requests: Iterable[GateRequest],
        estimate_work: Callable[[GateRequest], timedelta],
    ) -> list[GateRequest]:
        """Return waiting requests in the order in which they are to start.

        :param requests: the requests, oldest first; one that has not joined the queue
            is placed where it would be if it did.
        :param estimate_work: returns the expected slot time of a request.
        """
        by_flow: defaultdict[FlowKey, list] = defaultdict(list)
        for index, request in enumerate(requests):
            due_at = compute_due_time(request)
            by_flow[get_flow_key(request)].append((due_at, index, request))
        ordered = []
        for key, members in by_flow.items():
            tag = self.compute_tag(key)
            for due_at, index, request in sorted(members, key=lambda item: item[:2]):
                ordered.append((key[0], tag, due_at, index, request))
                tag += max(MIN_WORK, estimate_work(request))
        # The index is unique, so requests are never compared.
        ordered.sort(key=lambda item: item[:4])
        return [item[-1] for item in ordered]

    def compute_tag(self, key: FlowKey) -> timedelta:
        """Return the start tag of the next request of an account."""
        flow = self.active.get(key) or self.idle.get(key)
        virtual_time = self.virtual_times.get(key[0], timedelta())
        if flow is None:
            return virtual_time
        return flow.tag if flow.waiting else max(flow.tag, virtual_time)

    def record_waiting(self, request: GateRequest) -> None:
        """Record that a request joined the queue."""
        flow = self.activate_flow(request)
        flow.waiting += 1
        self.waiting += 1

    def record_left(self, request: GateRequest) -> None:
        """Record that a request left the queue, to start or without a start."""
        flow = self.active[get_flow_key(request)]
        flow.waiting -= 1
        self.waiting -= 1
        self.deactivate_flow(request)

    def record_started(self, request: GateRequest, work: timedelta) -> None:
        """Charge an account for a request that starts.

        :param work: its expected slot time.
        """
        flow = self.activate_flow(request)
        virtual_time = self.virtual_times.get(request.rank, timedelta())
        self.virtual_times[request.rank] = max(virtual_time, flow.tag)
        charged = max(MIN_WORK, work)
        flow.running[request.serial] = charged
        flow.tag += charged

    def record_ended(self, request: GateRequest, work: timedelta) -> None:
        """Replace the expected slot time of a request by the measured one."""
        flow = self.active[get_flow_key(request)]
        flow.tag += work - flow.running.pop(request.serial)
        self.deactivate_flow(request)

    def activate_flow(self, request: GateRequest) -> AccountFlow:
        """Return the account of a request that waits or runs from now on."""
        key = get_flow_key(request)
        tag = self.compute_tag(key)
        flow = self.active.get(key) or self.idle.pop(key, None) or AccountFlow(tag)
        flow.tag = tag
        self.active[key] = flow
        return flow

    def deactivate_flow(self, request: GateRequest) -> None:
        """Forget accounts that are idle, as far as later decisions don't need them."""
        key = get_flow_key(request)
        flow = self.active[key]
        if flow.is_idle:
            del self.active[key]
            if flow.tag > self.virtual_times.get(request.rank, timedelta()):
                self.idle[key] = flow
        if not self.waiting:
            self.idle.clear()
            if not self.active:
                self.virtual_times.clear()
        while len(self.idle) > MAX_IDLE_ACCOUNTS:
            (rank, _), evicted = self.idle.popitem(last=False)
            # It starts at the virtual time again, which must not be before its tag:
            # accounts that still wait would be passed for ever.
            virtual_time = self.virtual_times.get(rank, timedelta())
            self.virtual_times[rank] = max(virtual_time, evicted.tag)


def get_flow_key(request: GateRequest) -> FlowKey:
    """Return the rank and the account that a request is counted for."""
    return request.rank, request.account


def compute_due_time(request: GateRequest) -> timedelta:
    """Return the time by which a request is due.

    Requests with an early aim or deadline are mostly short. If they go first, more
    requests are answered than in order of arrival. Others of the same rank and account
    don't starve, since their due times do not move.
    """
    useful_until = request.aim_deadline or request.deadline
    useful_for = useful_until - request.arrived_at
    return request.arrived_at + DUE_TIME_RATIO * useful_for

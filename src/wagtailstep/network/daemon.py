"""The components shared by all daemons, whatever their configuration source.

The log client is imported only by daemons that use the log, since imports take most
of the start-up time.
"""

import asyncio
import logging
import random
from datetime import timedelta
from typing import Any

import attrs
import msgspec
from blacksheep import Application, Router

from wagtailstep.controllers.gate import GateController
from wagtailstep.controllers.guard import DuplicateGuard
from wagtailstep.controllers.retry_lending import RetryLending
from wagtailstep.controllers.routing import RoutingController
from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.departures import (
    LookUpDepartures,
    RetryDeparturesRead,
    SaveDepartures,
)
from wagtailstep.models.events import Controller, GateUnresponsive
from wagtailstep.models.fleet import Member
from wagtailstep.models.idempotency import RequestDecided
from wagtailstep.models.keyed_store import KeyedStore, NullKeyedStore
from wagtailstep.models.log import LogService, NullLogService
from wagtailstep.models.peer import PeerChannel
from wagtailstep.models.quotas import QuotaDecided, ScheduleQuotaCheck
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.models.status import DaemonStatus, describe_status
from wagtailstep.network.announcements import add_announcement_routes
from wagtailstep.network.caller_app import (
    CallerApp,
    DaemonEndpoints,
    create_gate_port_handler,
)
from wagtailstep.network.departure_store import DepartureStore
from wagtailstep.network.entry import EntryService
from wagtailstep.network.exchange_app import ExchangeApp
from wagtailstep.network.forwarder import HttpForwarder
from wagtailstep.network.gate import GateService
from wagtailstep.network.gate_metrics import register_gate_metrics
from wagtailstep.network.head_limits import PEER_LIMITS, get_caller_limits
from wagtailstep.network.http_client import HttpClient
from wagtailstep.network.http_server import HttpServer
from wagtailstep.network.metrics import MetricsRecorder
from wagtailstep.network.monitoring_routes import add_metrics_route, add_ready_route
from wagtailstep.network.peer_channel import ZeroMqPeerChannel
from wagtailstep.network.prober import Prober
from wagtailstep.network.relay import HttpRelay
from wagtailstep.network.runtime import Runtime, RuntimeAdapters
from wagtailstep.utils.clock import Clock, get_unix_ms
from wagtailstep.utils.logging import log_event

LOGGER = logging.getLogger(__name__)
TICKET_POLL_MS = 50


class Daemon:
    """The components of one daemon process, except its configuration source.

    :param settings: settings of the daemon.
    :param clock: the clock that all components use.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = random.Random(settings.seed)
        self.blackboard = Blackboard(build_local_member(settings, clock))
        self.client = HttpClient(settings.requests, clock)
        self.build_runtime()
        self.build_entry()
        self.build_servers()

    def build_runtime(self) -> None:
        """Create the controllers, the gate and the runtime that drives them."""
        parts = (self.settings, self.blackboard, self.clock, self.rng)
        self.routing = RoutingController(*parts)
        self.guard = DuplicateGuard(*parts)
        self.metrics = MetricsRecorder(self.blackboard, self.clock)
        gate_controller = GateController(*parts)
        register_gate_metrics(self.metrics, gate_controller.counts)
        self.gate = GateService(
            self.settings, gate_controller, self.client, self.clock, self.dispatch
        )
        self.forwarder = HttpForwarder(
            self.blackboard, self.client, self.gate, self.settings.service
        )
        prober = Prober(
            self.settings.requests,
            self.blackboard,
            self.clock,
            self.rng,
            self.forwarder,
        )
        self.log = self.create_log_service()
        store = self.get_keyed_store()
        self.departure_store = DepartureStore(
            store, self.settings.daemon_id, self.clock, self.dispatch
        )
        adapters = RuntimeAdapters(
            log=self.log,
            channel=self.create_channel(),
            probe=prober.probe,
            store=store,
        )
        self.runtime = Runtime(*parts, adapters)
        self.runtime.effect_handlers |= {
            SaveDepartures: self.departure_store.save,
            RetryDeparturesRead: self.departure_store.retry_read,
            LookUpDepartures: self.departure_store.look_up,
        }
        self.runtime.controllers = self.create_controllers()
        self.client.on_unreachable = lambda address: self.dispatch(
            GateUnresponsive(address)
        )

    def create_controllers(self) -> tuple[Controller, ...]:
        """Create the controllers in the order in which they handle each event.

        A controller sees what the earlier ones wrote to the blackboard for the event.
        """
        raise NotImplementedError

    def create_log_service(self) -> LogService:
        """Create the client of the log service, or a null implementation."""
        return NullLogService()

    def create_channel(self) -> PeerChannel:
        """Create the control channel to the other daemons."""
        return ZeroMqPeerChannel(self.settings, self.clock)

    def get_keyed_store(self) -> KeyedStore:
        """Return the platform's keyed store, or a null implementation."""
        return NullKeyedStore()

    def add_target_routes(self, app: Application) -> None:
        """Add the routes by which local backend servers register as targets."""
        add_announcement_routes(app, self.runtime.dispatch, self.settings, self.clock)

    def build_entry(self) -> None:
        """Create the entry and pass the duplicate guard's decisions to it."""
        self.entry = EntryService(
            self.settings,
            self.blackboard,
            self.clock,
            self.rng,
            routing=self.routing,
            guard=self.guard,
            forwarder=self.forwarder,
            relay=HttpRelay(self.client),
            dispatch=self.runtime.dispatch,
            apply=self.runtime.apply_all,
        )
        self.runtime.effect_handlers[RequestDecided] = self.entry.deliver_decision
        quotas = self.entry.quotas
        self.runtime.controllers = (
            *self.runtime.controllers,
            quotas.home,
            quotas.leases,
            self.entry.admission,
        )
        self.runtime.effect_handlers[QuotaDecided] = quotas.deliver_decision
        self.runtime.effect_handlers[ScheduleQuotaCheck] = quotas.schedule_check
        shared = self.entry.sender.retries.shared_budget
        if shared is not None:
            lending = RetryLending(self.blackboard, self.clock, self.rng, shared)
            self.runtime.controllers = (*self.runtime.controllers, lending)
            self.metrics.add_service_gauge(
                "wagtailstep.retries.room",
                "{retry}",
                shared.compute_remaining_by_service,
            )
        queue = self.entry.sender.declined.queue
        if queue is not None:
            self.metrics.add_service_gauge(
                "wagtailstep.declined.waiting", "{request}", queue.count_waiting
            )

    def build_servers(self) -> None:
        """Create the HTTP servers without listening yet."""
        endpoints = DaemonEndpoints(
            issue_ticket=self.entry.issue_ticket,
            describe_status=self.describe_status,
            describe_metrics=lambda: msgspec.Raw(self.metrics.export_json().encode()),
            list_events=lambda: list(self.runtime.timeline.events),
        )
        caller_app = CallerApp(self.entry.handle, endpoints)
        gate_app = ExchangeApp(
            create_gate_port_handler(self.gate.handle, self.entry.handle)
        )
        # Applications without an explicit router share a global one.
        self.announce_app = Application(router=Router())
        self.add_target_routes(self.announce_app)
        self.ready_app = Application(router=Router())
        add_ready_route(self.ready_app, self.blackboard)
        self.metrics_app = Application(router=Router())
        add_metrics_route(self.metrics_app, self.metrics.export_text)
        self.caller_server = HttpServer(
            caller_app,
            caller_app.announce_closing,
            lambda: get_caller_limits(self.blackboard),
        )
        self.gate_server = HttpServer(
            gate_app, gate_app.announce_closing, lambda: PEER_LIMITS
        )
        self.announce_server = HttpServer(self.announce_app, lambda: None)
        self.ready_server = HttpServer(self.ready_app, lambda: None)
        self.metrics_server = HttpServer(self.metrics_app, lambda: None)
        self.caller_app = caller_app

    async def start(self) -> None:
        """Start to listen, join the fleet and accept requests.

        :raises ExceptionGroup: with an ``OSError`` for each address that can't be
            listened on.
        """
        await self.announce_app.start()
        await self.ready_app.start()
        await self.metrics_app.start()
        await self.caller_app.daemon_app.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.gate_server.start(self.settings.gate_address))
            group.create_task(
                self.announce_server.start(self.settings.announce_address)
            )
            group.create_task(self.caller_server.start(self.settings.caller_address))
            if self.settings.ready_address:
                group.create_task(self.ready_server.start(self.settings.ready_address))
            if self.settings.metrics_address:
                group.create_task(
                    self.metrics_server.start(self.settings.metrics_address)
                )
        await self.runtime.start()
        self.runtime.spawn(self.departure_store.read())
        self.runtime.record_event(
            "daemon-started",
            caller_address=self.settings.caller_address,
        )

    def apply_settings(self, settings: Any) -> DaemonSettings:
        """Apply changes of the settings file that need no restart.

        A shutdown uses the times that were in the file when it began.

        :param settings: the settings in the changed file.
        :return: the settings of the daemon among them.
        """
        self.settings = attrs.evolve(
            self.settings,
            shutdown_ms=settings.shutdown_ms,
            shutdown_notice_ms=settings.shutdown_notice_ms,
        )
        self.entry.sender.retries.apply_settings(settings.requests)
        return settings

    async def shut_down(self) -> bool:
        """Leave the fleet without interrupting a request.

        Other daemons are notified before the entry and the gate stop listening, so
        that they choose other targets. Requests that still arrive are served.

        :return: whether all requests in flight ended within the drain limit.
        """
        notice = timedelta(milliseconds=self.settings.shutdown_notice_ms)
        limit = self.compute_shutdown_limit(notice)
        self.blackboard.draining = True
        self.blackboard.stopping_since = self.clock.monotonic()
        self.blackboard.stops_at = self.blackboard.stopping_since + notice + limit
        self.entry.arriving_bodies.limit_all()
        self.caller_app.announce_closing()
        self.runtime.record_event("daemon-draining", limit_s=limit.total_seconds())
        await asyncio.sleep(notice.total_seconds())
        self.caller_server.stop_accepting()
        finished = await asyncio.gather(
            self.caller_server.drain(limit), self.drain_gate(limit)
        )
        self.runtime.record_event("daemon-stopped", whole=all(finished))
        await self.runtime.unregister_member()
        await self.close()
        return all(finished)

    async def drain_gate(self, limit: timedelta) -> bool:
        """Wait for the requests of other daemons; tickets may still bring some.

        :param limit: maximum time to wait.
        :return: whether all requests ended in time.
        """
        ends_at = self.clock.monotonic() + limit
        await self.wait_for_tickets(limit)
        self.gate_server.stop_accepting()
        time_left = max(timedelta(), ends_at - self.clock.monotonic())
        return await self.gate_server.drain(time_left)

    async def wait_for_tickets(self, limit: timedelta) -> None:
        """Wait until no recently issued ticket can be used at another daemon.

        :param limit: maximum time to wait.
        """
        ends_at = self.clock.monotonic() + limit
        while self.guard.tickets.has_open_tickets():
            if self.clock.monotonic() >= ends_at:
                return
            await asyncio.sleep(TICKET_POLL_MS / 1_000)

    async def close(self) -> None:
        """Stop immediately and abort the requests in flight."""
        await self.runtime.close()
        for server in (
            self.caller_server,
            self.gate_server,
            self.announce_server,
            self.ready_server,
            self.metrics_server,
        ):
            await server.close()
        self.departure_store.close()
        self.client.close()
        self.log.close()

    def dispatch(self, event: Any) -> None:
        """Dispatch an event to the controllers.

        The gate is created before the runtime, so it can't hold ``runtime.dispatch``.
        """
        self.runtime.dispatch(event)

    def compute_shutdown_limit(self, notice: timedelta) -> timedelta:
        """Return how long to wait for requests in flight once the notice has passed."""
        if not self.settings.shutdown_ms:
            return self.compute_drain_limit()
        shutdown_time = timedelta(milliseconds=self.settings.shutdown_ms)
        return max(timedelta(), shutdown_time - notice)

    def compute_drain_limit(self) -> timedelta:
        """Return the longest drain limit of the services served or requested here."""
        local_services = {
            self.blackboard.targets[target_id].service
            for target_id in self.blackboard.local_targets
            if target_id in self.blackboard.targets
        }
        services = sorted(local_services | self.blackboard.requested_services) or [""]
        table = self.blackboard.table
        return max(table.service_row(service).drain_limit for service in services)

    def describe_status(self) -> DaemonStatus:
        """Return the status that this daemon reports to operators."""
        return describe_status(self.blackboard)


def build_local_member(settings: DaemonSettings, clock: Clock) -> Member:
    """Build the member entry that describes this daemon to its peers.

    The incarnation is the wall-clock start time in milliseconds, so that it grows with
    each restart although the daemon stores nothing.
    """
    incarnation = get_unix_ms(clock)
    log_event(LOGGER, "incarnation-chosen", logging.DEBUG, incarnation=incarnation)
    return Member(
        daemon_id=settings.daemon_id,
        incarnation=incarnation,
        peer_address=settings.peer_address,
        gate_address=settings.gate_address,
        availability_zone=settings.availability_zone,
    )

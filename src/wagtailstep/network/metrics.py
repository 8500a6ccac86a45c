"""OpenTelemetry metrics of one daemon, exported as JSON or Prometheus text."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.declined_requests import DeclinedWaitEnded
from wagtailstep.models.events import Tick
from wagtailstep.models.gate import WorkEnded
from wagtailstep.models.hedging import HedgeRecorded
from wagtailstep.models.request import AttemptEnded, RequestEnded
from wagtailstep.utils.clock import Clock


class MetricsRecorder:
    """Record outcomes from events and export gauges of the blackboard.

    It handles events as a controller does and has no effects. To limit cardinality,
    attributes never name targets or client accounts, and only requests and their
    latency are recorded per route. OpenTelemetry aggregates attribute sets beyond
    2,000 into one overflow set.

    :param blackboard: source of the gauges.
    :param clock: used for the age of the table.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        self.blackboard = blackboard
        self.clock = clock
        self.table_version = 0
        self.table_since = clock.monotonic()
        member = blackboard.this_member
        self.reader = InMemoryMetricReader()
        resource = Resource(
            {
                "service.name": "wagtailstep-daemon",
                "service.instance.id": member.daemon_id,
                "cloud.availability_zone": member.availability_zone,
            }
        )
        self.registry = CollectorRegistry()
        text_reader = PrometheusMetricReader(registry=self.registry)
        provider = MeterProvider([self.reader, text_reader], resource=resource)
        self.meter = provider.get_meter("wagtailstep")
        self.requests = self.meter.create_counter(
            "wagtailstep.requests",
            unit="{request}",
            description="Requests of callers that ended.",
        )
        self.request_latency = self.meter.create_histogram(
            "wagtailstep.request.duration",
            unit="s",
            description="Time from the head of a request to that of its answer.",
        )
        self.store_calls = self.meter.create_counter(
            "wagtailstep.store.calls",
            unit="{call}",
            description="Calls to the platform's store that ended.",
        )
        self.attempts = self.meter.create_counter(
            "wagtailstep.attempts", unit="1", description="Attempts that ended."
        )
        self.hedges = self.meter.create_counter(
            "wagtailstep.hedges",
            unit="{hedge}",
            description="Second copies of slow requests, by outcome and reason.",
        )
        self.attempt_latency = self.meter.create_histogram(
            "wagtailstep.attempt.duration",
            unit="s",
            description="Time from sending to the head of the answer or the failure.",
        )
        self.work_duration = self.meter.create_histogram(
            "wagtailstep.work.duration",
            unit="s",
            description="Time that the backend server beside this daemon worked.",
        )
        self.declined_waits = self.meter.create_counter(
            "wagtailstep.declined.waits",
            unit="{request}",
            description="Declined requests that got a retry late or were given up.",
        )
        self.add_blackboard_gauges()

    def add_blackboard_gauges(self) -> None:
        """Register the gauges that read the blackboard."""
        gauges = {
            "wagtailstep.table.unreadable_routes": lambda: len(
                self.blackboard.table.host_routes.unreadable
            ),
            "wagtailstep.table.accounts": lambda: len(
                self.blackboard.table.client_accounts or ()
            ),
            "wagtailstep.table.version": lambda: self.blackboard.table.version,
            "wagtailstep.members": lambda: len(self.blackboard.members),
            "wagtailstep.targets": lambda: len(self.blackboard.targets),
            "wagtailstep.targets.ejected": lambda: len(self.blackboard.ejected),
            "wagtailstep.log.reachable": lambda: int(self.blackboard.log_reachable),
        }
        for name, read in gauges.items():
            self.meter.create_observable_gauge(name, [_create_gauge_callback(read)])
        ages = {
            "wagtailstep.table.age": self.compute_table_age,
            "wagtailstep.table.known.age": self.compute_known_age,
        }
        for name, read in ages.items():
            callback = _create_gauge_callback(read)
            self.meter.create_observable_gauge(name, [callback], unit="s")

    def add_service_gauge(
        self, name: str, unit: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge with a value for each service.

        :param read: returns the values by service.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for service, value in read().items():
                yield Observation(value, {"service": service})

        self.meter.create_observable_gauge(name, [observe], unit=unit)

    def compute_table_age(self) -> float:
        """Return the seconds since the current table took effect."""
        return (self.clock.monotonic() - self.table_since) / timedelta(seconds=1)

    def compute_known_age(self) -> float:
        """Return the seconds since which a newer table may have been published."""
        known_at = self.blackboard.table_known_at
        if known_at is None:
            return 0.0
        return (self.clock.monotonic() - known_at) / timedelta(seconds=1)

    def record_store_call(self, outcome: str) -> None:
        """Count a finished call to the platform's store by its outcome."""
        self.store_calls.add(1, {"outcome": outcome})

    def handle(self, event: Any) -> list[Any]:
        """Record the end of a request, an attempt or work of the backend server."""
        if isinstance(event, Tick) and self.table_version != (
            version := self.blackboard.table.version
        ):
            self.table_version, self.table_since = version, self.clock.monotonic()
        if isinstance(event, RequestEnded):
            route = {"service": event.service, "route": event.route}
            self.requests.add(1, {**route, "outcome": event.outcome})
            self.request_latency.record(event.duration.total_seconds(), route)
        if isinstance(event, WorkEnded):
            result = {"result": event.result.value}
            self.work_duration.record(event.duration.total_seconds(), result)
        if isinstance(event, HedgeRecorded):
            attributes = {
                "service": event.service,
                "outcome": event.outcome.value,
                "reason": event.reason,
            }
            self.hedges.add(1, attributes)
        if isinstance(event, AttemptEnded):
            attributes = {
                "service": event.request.service,
                "verdict": event.verdict.value,
                "blame": event.blame.value,
            }
            self.attempts.add(1, attributes)
            service = {"service": event.request.service}
            self.attempt_latency.record(event.latency.total_seconds(), service)
        if isinstance(event, DeclinedWaitEnded):
            wait = {"service": event.service, "outcome": event.end.value}
            self.declined_waits.add(1, wait)
        return []

    def export_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def export_json(self) -> str:
        """Return all metrics as JSON in the OpenTelemetry data model."""
        data = self.reader.get_metrics_data()
        return "{}" if data is None else data.to_json(indent=None)


def _create_gauge_callback(read: Any) -> Any:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        yield Observation(read())

    return observe

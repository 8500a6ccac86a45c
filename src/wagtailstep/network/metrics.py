"""Metrics of one daemon, by OpenTelemetry, read over HTTP as JSON or as text."""

from collections.abc import Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from wagtailstep.models.blackboard import Blackboard
from wagtailstep.models.gate import WorkEnded
from wagtailstep.models.request import RequestOutcome


class MetricsRecorder:
    """Count outcomes and observe the blackboard.

    It takes events as a controller does and never has effects. Attributes are
    service, verdict and blame only, so that memory doesn't grow with the number of
    targets, routes or client accounts.

    :param blackboard: what the gauges show.
    """

    def __init__(self, blackboard: Blackboard) -> None:
        self.blackboard = blackboard
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
        self.attempts = self.meter.create_counter(
            "wagtailstep.attempts", unit="1", description="Attempts that ended."
        )
        self.latency = self.meter.create_histogram(
            "wagtailstep.attempt.duration",
            unit="s",
            description="Time from sending to the head of the answer or the failure.",
        )
        self.work = self.meter.create_histogram(
            "wagtailstep.work.duration",
            unit="s",
            description="Time that the backend server beside this daemon worked.",
        )
        self.observe_blackboard()

    def observe_blackboard(self) -> None:
        """Register the gauges."""
        gauges = {
            "wagtailstep.table.version": lambda: self.blackboard.table.version,
            "wagtailstep.members": lambda: len(self.blackboard.members),
            "wagtailstep.targets": lambda: len(self.blackboard.targets),
            "wagtailstep.targets.ejected": lambda: len(self.blackboard.ejected),
            "wagtailstep.log.reachable": lambda: int(self.blackboard.log_reachable),
        }
        for name, read in gauges.items():
            self.meter.create_observable_gauge(name, [_make_callback(read)])

    def handle(self, event: Any) -> list[Any]:
        """Count the event if it is the end of an attempt or of a piece of work."""
        if isinstance(event, WorkEnded):
            result = {"result": event.result.value}
            self.work.record(event.took.total_seconds(), result)
        if isinstance(event, RequestOutcome):
            attributes = {
                "service": event.request.service,
                "verdict": event.verdict.value,
                "blame": event.blame.value,
            }
            self.attempts.add(1, attributes)
            service = {"service": event.request.service}
            self.latency.record(event.latency.total_seconds(), service)
        return []

    def export_text(self) -> bytes:
        """Return all metrics in the text form that collectors read."""
        return generate_latest(self.registry)

    def export_json(self) -> str:
        """Return all metrics as JSON in OpenTelemetry's data model."""
        data = self.reader.get_metrics_data()
        return "{}" if data is None else data.to_json(indent=None)


def _make_callback(read: Any) -> Any:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        yield Observation(read())

    return observe

"""Metrics of the gate: who waits or was refused where, and why."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation

from wagtailstep.controllers.gate_counts import GateCounts
from wagtailstep.network.metrics import MetricsRecorder


def register_gate_metrics(metrics: MetricsRecorder, counts: GateCounts) -> None:
    """Register the metrics of a gate, which are read at each export."""
    metrics.add_service_gauge(
        "wagtailstep.gate.waiting", "{request}", counts.count_waiting
    )
    metrics.add_service_gauge(
        "wagtailstep.gate.running", "{request}", counts.count_running
    )
    metrics.meter.create_observable_gauge(
        "wagtailstep.gate.queued",
        [create_rank_callback(counts.count_waiting_by_rank)],
        unit="{request}",
        description="Requests that wait at the gate, by rank and cause.",
    )
    metrics.meter.create_observable_counter(
        "wagtailstep.gate.refused",
        [create_rank_callback(lambda: counts.refused)],
        unit="{request}",
        description="Requests refused for lack of capacity, by rank and cause.",
    )


def create_rank_callback(
    read: Callable[[], Mapping[tuple[str, str, str], int]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return a callback that observes values by service, rank and cause.

    :param read: returns the values.
    """

    def observe(_: CallbackOptions) -> Iterable[Observation]:
        for (service, rank, cause), value in read().items():
            attributes = {"service": service, "rank": rank, "cause": cause}
            yield Observation(value, attributes)

    return observe

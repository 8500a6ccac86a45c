"""Simulated services of both users, with the table rows shipped for them."""

import attrs

from benchmarks.detection_simulation import Scenario
from wagtailstep.models.table import ServiceRow

ADDIS_ZONES = ("bole", "piassa", "kirkos")
HOKKAIDO_ZONES = ("sapporo-a", "sapporo-b", "obihiro")

CONTRACTS = ServiceRow(
    "contracts",
    floor_weight=14.0,
    detection_window_ms=2_000,
    false_ejection_risk=1e-6,
)
ARCHIVE = attrs.evolve(CONTRACTS, service="archive", floor_weight=4.0)
STAFFROOM = ServiceRow(
    "staffroom",
    floor_weight=16.0,
    detection_window_ms=10_000,
    false_ejection_risk=1e-12,
)
EVENTDAY = attrs.evolve(STAFFROOM, service="eventday", floor_weight=5.0)

ADDIS = (
    Scenario(CONTRACTS, ADDIS_ZONES, zone_delay_s=0.0005, targets=20),
    Scenario(ARCHIVE, ADDIS_ZONES, zone_delay_s=0.0005, targets=6),
)
HOKKAIDO = (
    Scenario(STAFFROOM, HOKKAIDO_ZONES, zone_delay_s=0.0015, targets=20, end_s=40.0),
    Scenario(EVENTDAY, HOKKAIDO_ZONES, zone_delay_s=0.0015, targets=6, end_s=40.0),
)

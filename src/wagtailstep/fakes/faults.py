"""Faults that a backend server stand-in can be told to have."""

import random

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from wagtailstep.exceptions import SettingsError


@attrs.frozen
class Faults:
    """Gray failures; all of them leave health and load endpoints cheerful.

    :param fail_share: share of real requests that end with status 500, 0 to 1.
    :param fail_route: first path segment whose requests all fail, or empty.
    :param slow_factor: factor on the time of every real request.
    :param flap_ms: if not 0, faults are off and on in turns of this length.
    :param truncate_share: share of answers that are cut in the middle, 0 to 1.
    :param lose_share: share of requests that run and whose answer is lost, 0 to 1.
    :param hang_share: share of requests that are read and never answered, 0 to 1.
    """

    fail_share: float = 0.0
    fail_route: str = ""
    slow_factor: float = 1.0
    flap_ms: int = 0
    truncate_share: float = 0.0
    lose_share: float = 0.0
    hang_share: float = 0.0

    def active_at(self, now_ms: float) -> "Faults":
        """Return the faults in effect at a moment, with flapping applied."""
        if self.flap_ms and int(now_ms / self.flap_ms) % 2 == 0:
            return Faults()
        return self

    def should_fail(self, route: str, rng: random.Random) -> bool:
        """Tell whether a request of a route ends with status 500."""
        if self.fail_route and route == self.fail_route:
            return True
        return draw_bool(rng, self.fail_share)


def draw_bool(rng: random.Random, share: float) -> bool:
    """Return true for a share of all calls."""
    return share > 0 and rng.random() < share


_converter = cattrs.Converter(forbid_extra_keys=True)
_converter.register_structure_hook(
    Faults,
    make_dict_structure_fn(Faults, _converter, _cattrs_forbid_extra_keys=True),
)


def read_faults(values: object) -> Faults:
    """Read faults from decoded JSON.

    :raises SettingsError: if a key is unknown or a value has the wrong type.
    """
    try:
        return _converter.structure(values, Faults)
    except Exception as error:
        known = ", ".join(field.name for field in attrs.fields(Faults))
        raise SettingsError(f"faults {values!r} are wrong; known: {known}") from error

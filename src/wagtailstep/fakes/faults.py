"""Faults that can be injected into a backend server stand-in."""

import random

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from wagtailstep.exceptions import SettingsError
from wagtailstep.models.headers import SERVER_LEAVING, SERVER_LIMIT


@attrs.frozen
class Faults:
    """Gray failures: health and load endpoints report no problem despite them.

    :param fail_share: fraction of work requests that fail with status 500, 0 to 1.
    :param fail_route: first path segment of requests that all fail; empty for none.
    :param slow_factor: factor on the processing time of every work request.
    :param flap_ms: if not 0, faults alternate between off and on in periods of this
        length.
    :param truncate_share: fraction of responses that are truncated, 0 to 1.
    :param lose_share: fraction of requests that run but whose response is lost, 0 to 1.
    :param hang_share: fraction of requests that run but are never answered, 0 to 1.
    :param rate_limit: text of the header by which each response names the requests a
        second that the server takes; empty for none.
    :param says_leaving: whether each response says that the server leaves.
    """

    fail_share: float = 0.0
    fail_route: str = ""
    slow_factor: float = 1.0
    flap_ms: int = 0
    truncate_share: float = 0.0
    lose_share: float = 0.0
    hang_share: float = 0.0
    rate_limit: str = ""
    says_leaving: bool = False

    def active_at(self, now_ms: float) -> "Faults":
        """Return the faults in effect at a given time, with flapping applied."""
        if self.flap_ms and int(now_ms / self.flap_ms) % 2 == 0:
            return Faults()
        return self

    def build_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that each response of the server carries."""
        headers = []
        if self.rate_limit:
            headers.append((SERVER_LIMIT.encode(), self.rate_limit.encode()))
        if self.says_leaving:
            headers.append((SERVER_LEAVING.encode(), b"1"))
        return headers

    def should_fail(self, route: str, rng: random.Random) -> bool:
        """Return whether a request of a route should fail with status 500."""
        if self.fail_route and route == self.fail_route:
            return True
        return draw_bool(rng, self.fail_share)


def draw_bool(rng: random.Random, share: float) -> bool:
    """Return True with probability ``share``."""
    return share > 0 and rng.random() < share


_converter = cattrs.Converter(forbid_extra_keys=True)
_converter.register_structure_hook(
    Faults,
    make_dict_structure_fn(Faults, _converter, _cattrs_forbid_extra_keys=True),
)


def read_faults(values: object) -> Faults:
    """Convert decoded JSON to faults.

    :raises SettingsError: if a key is unknown or a value has the wrong type.
    """
    try:
        return _converter.structure(values, Faults)
    except Exception as error:
        known = ", ".join(field.name for field in attrs.fields(Faults))
        raise SettingsError(
            f"faults {values!r} are invalid; known fields: {known}"
        ) from error

"""Matching of responses to the requests on one connection by their identifiers."""

from collections.abc import Iterable

import attrs

from wagtailstep.models.headers import REQUEST_ID, Headers, find_header

# Request identifiers that one connection carries before it is replaced.
MAX_REQUEST_IDS = 1_024


@attrs.define
class ResponseMatcher:
    """Tells responses to the latest request on a connection from earlier ones.

    A faulty server may write an earlier response once more. A connection therefore
    carries each identifier only once, and is not reused after a response without one.
    An empty identifier disables the checks.

    :param request_ids: identifiers of all requests on the connection.
    :param expected_id: identifier of the latest one.
    :param is_ambiguous: whether a response lacked the identifier.
    """

    request_ids: set[str] = attrs.field(factory=set)
    expected_id: str = ""
    is_ambiguous: bool = False

    @property
    def may_match_more(self) -> bool:
        """Return whether responses to further requests can be matched."""
        return not self.is_ambiguous and len(self.request_ids) < MAX_REQUEST_IDS

    def may_match(self, request_id: str) -> bool:
        """Return whether responses to a request can be told from earlier ones."""
        return request_id not in self.request_ids

    def start(self, request_id: str) -> None:
        """Record the identifier of the request that is about to be sent."""
        self.expected_id = request_id
        if request_id:
            self.request_ids.add(request_id)

    def is_stale(self, headers: Headers) -> bool:
        """Return whether a response belongs to an earlier request.

        :param headers: the headers of the response.
        """
        if not self.expected_id:
            return False
        response_id = find_header(headers, REQUEST_ID)
        self.is_ambiguous = response_id is None
        return response_id is not None and response_id != self.expected_id


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return decoded headers with lower-case names."""
    return tuple(
        (name.decode("ascii").lower(), value.decode("latin-1"))
        for name, value in headers
    )

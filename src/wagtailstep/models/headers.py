"""Names of the HTTP headers that daemons use, and functions to edit headers."""

import re
from collections.abc import Iterable
from datetime import timedelta

SERVICE = "wagtailstep-service"
ROUTE = "wagtailstep-route"
ACCOUNT = "wagtailstep-account"
ACCOUNT_PRIORITY = "wagtailstep-account-priority"
# The key of a client account; daemons never pass it on.
CREDENTIAL = "wagtailstep-credential"
IDEMPOTENT = "wagtailstep-idempotent"
TIMEOUT_MS = "wagtailstep-timeout-ms"
VERDICT = "wagtailstep-verdict"
REQUEST_ID = "wagtailstep-request-id"
ATTEMPT_ID = "wagtailstep-attempt-id"
GATE_ID = "wagtailstep-gate-id"
TARGET = "wagtailstep-target"
REASON = "wagtailstep-reason"
BLAME = "wagtailstep-blame"
QUEUEING_MS = "wagtailstep-queueing-ms"
LOAD = "wagtailstep-load"
CALLS = "wagtailstep-calls"
CALL_REFUSED = "wagtailstep-call-refused"
PRIORITY = "wagtailstep-priority"
AIM_MS = "wagtailstep-aim-ms"
MAY_WAIT = "wagtailstep-may-wait"
STANDING = "wagtailstep-standing"
FINGERPRINT = "wagtailstep-fingerprint"
KNOWN_RATE_LIMIT = "wagtailstep-known-rate-limit"
RETRY_AFTER_MS = "wagtailstep-retry-after-ms"
FIRST_SENDING = "wagtailstep-first-sending"
RELAYED = "wagtailstep-relayed"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"
TRACEPARENT = "traceparent"
# Set on requests to backend servers.
CALLER_SERVICE = "wagtailstep-caller-service"
TENANT = "wagtailstep-tenant"
EXPECTED_INSTANCE = "wagtailstep-expected-instance"
# Set by backend servers on responses.
NOT_EXECUTED = "wagtailstep-not-executed"
# Requests a second that the server takes from the whole fleet.
SERVER_LIMIT = "server-limit"
# "1" if the server is leaving.
SERVER_LEAVING = "server-leaving"
FLEET_PREFIX = "wagtailstep-"

# Only daemons may set these on a response.
DAEMON_ANSWER_HEADERS = frozenset(
    {
        VERDICT,
        ATTEMPT_ID,
        GATE_ID,
        TARGET,
        REASON,
        BLAME,
        QUEUEING_MS,
        LOAD,
        CALLS,
        CALL_REFUSED,
        RETRY_AFTER_MS,
    }
)
# These inform the entry about the gate; they are not forwarded to callers.
GATE_ANSWER_HEADERS = frozenset(
    {GATE_ID, QUEUEING_MS, LOAD, CALLS, CALL_REFUSED, BLAME}
)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})

# RFC 9110 section 7.6.1: these belong to one connection and are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# More than a 64-bit number has is no value that this package sends.
MAX_DIGITS = 18
KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*([0-9]{1,6})\b", re.ASCII | re.I)

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the value of the first header of a name, or ``None``.

    :param headers: pairs of lower-case name and value.
    :param name: name in lower case.
    """
    return next((value for key, value in headers if key == name), None)


def read_int_header(headers: Headers, name: str) -> int | None:
    """Return the value of a header as an integer, or ``None`` if it is not one."""
    value = find_header(headers, name) or ""
    is_number = value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS
    return int(value) if is_number else None


def encode_text(text: str) -> str:
    """Return any text as a header value, which holds its octets in UTF-8."""
    return text.encode().decode("latin-1")


def decode_text(value: str) -> str:
    """Return the text that a header value holds in UTF-8."""
    return value.encode("latin-1", "replace").decode(errors="replace")


def read_keep_alive(headers: Headers) -> timedelta | None:
    """Return for how long a server keeps an idle connection, or ``None`` if unknown."""
    match = KEEP_ALIVE_TIMEOUT.search(find_header(headers, "keep-alive") or "")
    return None if match is None else timedelta(seconds=int(match[1]))


def remove_headers(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers without those of the given lower-case names."""
    return tuple(pair for pair in headers if pair[0] not in names)


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that may be forwarded to the next hop.

    Headers listed in ``Connection`` are removed as well, as RFC 9110 requires, and a
    length that ``Transfer-Encoding`` overrides, as RFC 9112 section 6.3 requires.
    """
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    if find_header(headers, "transfer-encoding") is not None:
        listed.add("content-length")
    return remove_headers(headers, HOP_BY_HOP | listed)


def build_forwarded_headers(headers: Headers) -> Headers:
    """Return the headers to forward with a request to the next hop.

    A body that arrived chunked is also sent chunked. ``Expect`` is removed, since
    each hop negotiates it separately.
    """
    kept = remove_headers(remove_hop_by_hop(headers), frozenset({"expect"}))
    if find_header(headers, "transfer-encoding") is not None:
        kept += (("transfer-encoding", "chunked"),)
    return kept


def remove_fleet_headers(headers: Headers) -> Headers:
    """Return the headers without those that only daemons may set."""
    return tuple(pair for pair in headers if not pair[0].startswith(FLEET_PREFIX))


def replace_headers(headers: Headers, *replacements: tuple[str, str]) -> Headers:
    """Return the headers with all values of some names replaced by one new value.

    :param headers: pairs of lower-case name and value.
    :param replacements: the new pairs of lower-case name and value.
    """
    replaced = {name for name, _ in replacements}
    kept = tuple(pair for pair in headers if pair[0] not in replaced)
    return (*kept, *replacements)

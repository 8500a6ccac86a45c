"""Requests with large heads that arrive in pieces, beside changes of the limit."""

import asyncio
import random

from benchmarks.soak.departures import was_disturbed
from benchmarks.soak.fleet import ROUTE_HOST, STORE_HOST, Host, SoakFleet
from wagtailstep.models.connection import DEFAULT_HEAD_BYTES

LIMITS_BYTES = (16_384, 49_152, 65_536, 131_072)
# A version is in force everywhere within this time.
APPLY_S = 2.5
MAX_BYTES_BELOW_LIMIT = 200
MAX_FIELD_BYTES = 1_000
TIMEOUT_MS = 5_000
PACKET_BYTES = 1_460
# Pieces without a pause would arrive together.
PAUSE_S = 0.001
# Refusals after which callers try again.
RETRYABLE_STATUSES = (408, 421, 429)


async def change_head_limit(fleet: SoakFleet, host: Host, rng: random.Random) -> None:
    """Publish a new limit on heads and send some that are close below it."""
    fleet.limits = {"max-header-bytes": rng.choice(LIMITS_BYTES)}
    fleet.publish()
    await asyncio.sleep(APPLY_S)
    for _ in range(rng.randint(2, 6)):
        name = rng.choice(fleet.hosts).name
        at_s = asyncio.get_running_loop().time()
        size = find_lowest_limit(fleet, at_s) - rng.randint(0, MAX_BYTES_BELOW_LIMIT)
        piece = rng.choice((PACKET_BYTES, 5 * PACKET_BYTES, size))
        status, _ = await send_head(name, size, piece)
        is_disturbed = any(
            was_disturbed(fleet, each, at_s) for each in (name, STORE_HOST)
        )
        if (
            400 <= status < 500
            and status not in RETRYABLE_STATUSES
            and not is_disturbed
        ):
            fleet.wrong_refusals.append(
                f"a head of {size} bytes in pieces of {piece} got {status} at {name}"
            )
        await asyncio.sleep(rng.uniform(0.05, 0.3))


def find_lowest_limit(fleet: SoakFleet, at_s: float) -> int:
    """Return the lowest limit of all versions that may be in force."""
    earlier = [p for p in fleet.publications if p.at_s <= at_s - APPLY_S]
    recent = [p for p in fleet.publications if p.at_s > at_s - APPLY_S]
    return min(
        publication.limits.get("max-header-bytes", DEFAULT_HEAD_BYTES)
        for publication in [*earlier[-1:], *recent]
    )


async def send_head(
    host: str, size: int, piece: int, pause_s: float = PAUSE_S
) -> tuple[int, str]:
    """Send a request whose head arrives in pieces.

    :param size: size of the head in bytes.
    :param piece: size of a piece in bytes.
    :param pause_s: time between two pieces in seconds.
    :return: the status, 0 without a response, and the head of the response.
    """
    try:
        reader, writer = await asyncio.open_connection(host, 8001)
    except OSError:
        return 0, ""
    reading = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
    head = build_head(size)
    try:
        for start in range(0, size, piece):
            if reading.done():
                break
            writer.write(head[start : start + piece])
            await writer.drain()
            await asyncio.sleep(pause_s)
        response = (await reading).decode("latin-1")
    except (OSError, asyncio.IncompleteReadError):
        return 0, ""
    finally:
        reading.cancel()
        writer.close()
    return int(response.split()[1]), response


def build_head(size: int) -> bytes:
    """Build the head of a request with exactly some number of bytes."""
    lines = [
        "GET /lookup/1 HTTP/1.1",
        f"host: {ROUTE_HOST}",
        f"wagtailstep-timeout-ms: {TIMEOUT_MS}",
    ]
    left = size - sum(len(line) + 2 for line in lines) - 2
    while left > 0:
        name = f"cookie-{len(lines)}: "
        # The last field takes what would be too little for one more.
        length = left if left < 2 * MAX_FIELD_BYTES else MAX_FIELD_BYTES
        lines.append(name + "c" * (length - len(name) - 2))
        left -= length
    return ("\r\n".join(lines) + "\r\n\r\n").encode()

"""The history of one run: sends by callers and executions by backend servers."""

import enum

import attrs


class OperationKind(enum.Enum):
    """Type of an operation, by how its caller guards it against running twice.

    A lookup is idempotent; the other types are not.
    """

    LOOKUP = "lookup"
    UNKEYED = "unkeyed"
    KEY = "key"
    TICKET = "ticket"

    @property
    def keyed(self) -> bool:
        """Return whether all sends of the operation carry the same key or ticket."""
        return self in (OperationKind.KEY, OperationKind.TICKET)


@attrs.define
class Sending:
    """One send of an operation by its caller, and its outcome.

    :param operation: number of the operation; the same in all its sends.
    :param sending: number of this send, unique in the run.
    :param kind: type of the operation.
    :param started: time in seconds when it was sent.
    :param ended: time in seconds when its response arrived; ``None`` if none did.
    :param status: HTTP status; ``None`` without a complete response.
    :param verdict: value of the verdict header; ``None`` without one.
    :param body: complete body of the response.
    """

    operation: int
    sending: int
    kind: OperationKind
    started: float
    ended: float | None = None
    status: int | None = None
    verdict: str | None = None
    body: str = ""


@attrs.frozen
class Execution:
    """One run of an operation by a backend server.

    :param operation: number of the operation.
    :param sending: number of the send that caused it.
    :param time: time in seconds when it took effect.
    """

    operation: int
    sending: int
    time: float


@attrs.define
class RunHistory:
    """All sends and executions of one run."""

    sendings: list[Sending] = attrs.field(factory=list)
    executions: list[Execution] = attrs.field(factory=list)


@attrs.frozen
class Violation:
    """A guarantee that a history violates.

    :param promise: name of the guarantee.
    :param detail: the operation, send or execution that violates it.
    """

    promise: str
    detail: str

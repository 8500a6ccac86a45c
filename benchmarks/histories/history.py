"""What happened in one run: sendings by callers and executions by backend servers."""

import enum

import attrs


class OperationKind(enum.Enum):
    """How a caller protects its request."""

    LOOKUP = "lookup"
    UNKEYED = "unkeyed"
    KEY = "key"
    TICKET = "ticket"

    @property
    def keyed(self) -> bool:
        """Return whether resends carry the same key or ticket."""
        return self in (OperationKind.KEY, OperationKind.TICKET)


@attrs.define
class Sending:
    """One sending of one operation by its caller.

    :param operation: number of the operation; resends have the same.
    :param sending: number of the sending.
    :param kind: how the operation is protected.
    :param started: time in seconds when it was sent.
    :param ended: time in seconds when its answer came, or ``None``.
    :param status: HTTP status, or ``None`` without a whole answer.
    :param verdict: value of the verdict header, or ``None``.
    :param body: the whole body.
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
    :param sending: number of the sending that led to it.
    :param time: time in seconds when it took effect.
    """

    operation: int
    sending: int
    time: float


@attrs.define
class RunHistory:
    """All sendings and executions of one run."""

    sendings: list[Sending] = attrs.field(factory=list)
    executions: list[Execution] = attrs.field(factory=list)


@attrs.frozen
class Violation:
    """A promise that a history breaks.

    :param promise: name of the promise.
    :param detail: the operation and sending.
    """

    promise: str
    detail: str

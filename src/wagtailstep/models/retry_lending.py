"""Messages and events by which daemons lend retries to each other."""

from typing import ClassVar

import attrs
import msgspec

from wagtailstep.utils.codec import message


@attrs.frozen
class RetriesMissing:
    """A request could be sent again if there were more retries for some services.

    :param costs: what one more run costs, by service.
    """

    costs: dict[str, float]


@message
class RetryLoanRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask a daemon to lend retries.

    :param sequence: repeated in the answer.
    :param reply_to: ``host:port`` of the control channel for the answer.
    :param service: the service that the retries are for.
    :param amount: how many are wanted; fractions are possible.
    """

    wire_name: ClassVar[str] = "LoanRequest"

    sequence: int
    reply_to: str
    service: str
    amount: float


@message
class RetryLoan(msgspec.Struct, array_like=True, frozen=True):
    """Retries that the sender lends; it no longer uses them itself.

    :param sequence: as in the request.
    :param service: as in the request.
    :param amount: how many are lent.
    """

    wire_name: ClassVar[str] = "Loan"

    sequence: int
    service: str
    amount: float

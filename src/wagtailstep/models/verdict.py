"""The verdict on a request: whether a backend server may have run it."""

import enum


class Verdict(enum.Enum):
    """Say whether a request was run by a backend server.

    ``NOT_RUN`` is a fact, not a guess: no byte of the request left for a
    backend server, or the gate that knows says so. ``RUN`` means a whole
    answer of the backend server arrived.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"

    def allows_resend(self, idempotent: bool) -> bool:
        """Tell whether the system itself may send the request again.

        :param idempotent: whether running the request twice does no harm.
        """
        return self is Verdict.NOT_RUN or (idempotent and self is Verdict.MAY_HAVE_RUN)


_RANK = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RUN: 2}


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts of the same request.

    :return: the verdict that claims more: run before may-have-run before not-run.
    """
    return max(first, second, key=_RANK.__getitem__)

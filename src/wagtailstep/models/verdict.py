"""The verdict on a request: whether a backend server may have run it."""

import enum


class Verdict(enum.Enum):
    """Whether a request was run by a backend server.

    ``NOT_RUN`` is certain: no byte of the request was sent to a backend server, or
    the gate in charge confirmed that it was not run. ``RUN`` means that a complete
    response of the backend server arrived.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"

    def allows_resend(self, idempotent: bool) -> bool:
        """Return whether a daemon may resend the request on its own.

        :param idempotent: whether running the request twice does no harm.
        """
        return self is Verdict.NOT_RUN or (idempotent and self is Verdict.MAY_HAVE_RUN)


_RANK = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RUN: 2}


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts of the same request.

    :return: ``RUN`` if either is, else ``MAY_HAVE_RUN`` if either is, else
        ``NOT_RUN``.
    """
    return max(first, second, key=_RANK.__getitem__)

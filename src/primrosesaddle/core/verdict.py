"""Verdicts: whether a request that failed may have run on a backend server."""

import dataclasses
import enum

__all__ = ('Refusal', 'Verdict')


class Verdict(enum.Enum):
    """Whether a refused or failed request ran on a backend server."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


@dataclasses.dataclass
class Refusal(Exception):
    """The refusal of a request, with the verdict whether it may have run.

    `retry_after_s` is zero if a retry is of no use; `status` is the HTTP status that
    the caller gets.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    retry_after_s: float = 0

    @property
    def retryable(self) -> bool:
        """Tell whether the request certainly did not run, so that it can be retried."""
        return self.verdict is Verdict.NOT_RUN

    def __str__(self) -> str:
        """Return the verdict and the reason."""
        return f'{self.verdict.value}: {self.reason}'


def not_run(reason: str, status: int = 503, retry_after_s: float = 0) -> Refusal:
    """Return the refusal of a request that did not run and will not run."""
    return Refusal(Verdict.NOT_RUN, reason, status, retry_after_s)


def may_have_run(reason: str, status: int = 502) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, status)

"""The verdict on a request: whether it may have run at a backend server."""

import dataclasses
import enum

__all__ = ('Refusal', 'Verdict')


class Verdict(enum.Enum):
    """Whether a refused or failed request ran."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


@dataclasses.dataclass
class Refusal(Exception):
    """A truthful refusal of one request.

    `retry_after_s` is in seconds, zero when a retry is of no use; `status` is
    the HTTP status that a caller sees.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    retry_after_s: float = 0

    @property
    def retryable(self) -> bool:
        """Tell whether another backend server may be tried without doubt."""
        return self.verdict is Verdict.NOT_RUN

    def __str__(self) -> str:
        """Return verdict and reason."""
        return f'{self.verdict.value}: {self.reason}'


def not_run(reason: str, status: int = 503, retry_after_s: float = 0) -> Refusal:
    """Return a refusal of a request that did not start and never will."""
    return Refusal(Verdict.NOT_RUN, reason, status, retry_after_s)


def may_have_run(reason: str, status: int = 502) -> Refusal:
    """Return a refusal of a request whose effect is unknown."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, status)

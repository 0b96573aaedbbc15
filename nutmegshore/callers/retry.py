"""Policy that limits retries."""

import abc

from nutmegshore.errors import ErrorKind

__all__ = ('RetryFreely', 'RetryPolicy')


class RetryPolicy(abc.ABC):
    """Says whether a retry that would be safe is also affordable."""

    @abc.abstractmethod
    def may_retry(
        self,
        failure: ErrorKind,
        service: str,
        deadline: float,
    ) -> bool:
        """Whether to retry; a True answer is counted against the budget."""


class RetryFreely(RetryPolicy):
    """Allows every safe retry."""

    def may_retry(
        self,
        failure: ErrorKind,
        service: str,
        deadline: float,
    ) -> bool:
        """Allow it."""
        return True

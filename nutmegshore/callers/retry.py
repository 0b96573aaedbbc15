"""Policy that limits retries."""

import abc

from nutmegshore.errors import ErrorKind

__all__ = ('RetryFreely', 'RetryPolicy')


class RetryPolicy(abc.ABC):
    """Decides whether the retry budget allows a retry that is safe."""

    @abc.abstractmethod
    def may_retry(
        self,
        failure: ErrorKind,
        service: str,
        deadline: float,
    ) -> bool:
        """Whether to retry; a result of True is charged to the budget."""


class RetryFreely(RetryPolicy):
    """Allows every safe retry."""

    def may_retry(
        self,
        failure: ErrorKind,
        service: str,
        deadline: float,
    ) -> bool:
        """Allow the retry."""
        return True

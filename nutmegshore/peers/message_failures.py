"""Delivery of messages whose handlers may fail."""

from typing import Any

from nutmegshore.counters import Counters
from nutmegshore.faults import describe_failure
from nutmegshore.logs import get_logger
from nutmegshore.peers.base import Handler

__all__ = ('GuardedDelivery',)


class GuardedDelivery:
    """Delivers messages; one that fails costs nothing but itself.

    Failures are counted as `message_failures`, by type. The first one of each
    type is logged, with its stack.
    """

    def __init__(self, deliver: Handler, counters: Counters) -> None:
        """Pass each message on to `deliver`."""
        self._deliver = deliver
        self._counters = counters
        self._logged: set[str] = set()

    def __call__(self, sender: str, body: Any) -> None:
        """Deliver a message of a sender."""
        try:
            self._deliver(sender, body)
        except Exception as failure:
            self._record(sender, type(body).__name__, failure)

    def _record(self, sender: str, name: str, failure: Exception) -> None:
        self._counters.add('message_failures', type=name)
        if name in self._logged:
            return
        self._logged.add(name)
        get_logger('peers').error(
            'message failed',
            sender=sender,
            type=name,
            **describe_failure(failure),
        )

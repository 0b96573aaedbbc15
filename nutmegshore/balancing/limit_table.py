"""Rate limits that upstreams name in their answers."""

from collections.abc import Callable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.upstreams import UpstreamReport

__all__ = ('LimitChangeReceiver', 'LimitTable', 'UpstreamLimit')


@attrs.frozen
class UpstreamLimit:
    """Requests per second that an upstream accepts from all gateways together.

    `max_rate` is None from the answer on in which the upstream names no limit
    any more. `stated_at` is when an answer said so, as a reading of this
    gateway's clock.
    """

    max_rate: float | None
    stated_at: float


#: Called with an upstream's name, its limit before, and its limit now.
LimitChangeReceiver = Callable[[str, float | None, float | None], None]


class LimitTable:
    """The limits in force, by upstream.

    A limit holds until an answer of the upstream names none.

        table.handle_report('orders-3', UpstreamReport(max_rate=1.3))
        table.max_rate('orders-3')  # 1.3

    `on_change` is called when a limit begins, changes or ends.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without limits."""
        self.on_change: LimitChangeReceiver | None = None
        self.by_id: dict[str, UpstreamLimit] = {}
        self._clock = clock

    def max_rate(self, instance: str) -> float | None:
        """Return the limit in requests per second, or None without one."""
        limit = self.by_id.get(instance)
        return None if limit is None else limit.max_rate

    def age_s(self, instance: str) -> float:
        """Return the seconds since an answer confirmed the limit."""
        return self._clock.now() - self.by_id[instance].stated_at

    def handle_report(self, instance: str, report: UpstreamReport) -> None:
        """Apply what an answer says about the limit.

        A limit that cannot be read changes nothing, and neither does a refusal
        that names none: only an answer to a request that ran ends a limit.
        """
        if report.malformed_limit is not None:
            return
        if report.max_rate is None:
            if report.is_refusal or instance not in self.by_id:
                return
        self._adopt(instance, report.max_rate, self._clock.now())

    def forget(self, instance: str) -> None:
        """Drop the limit of an upstream that is gone or has restarted."""
        self.by_id.pop(instance, None)

    def _adopt(
        self, instance: str, max_rate: float | None, stated_at: float
    ) -> None:
        before = self.max_rate(instance)
        if max_rate is None:
            self.by_id.pop(instance, None)
        else:
            self.by_id[instance] = UpstreamLimit(max_rate, stated_at)
        if before != max_rate and self.on_change is not None:
            self.on_change(instance, before, max_rate)

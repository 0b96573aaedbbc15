"""Rate limits that upstreams name in their answers."""

from collections.abc import Callable, Iterator

import attrs

from nutmegshore.clock import Clock
from nutmegshore.upstreams import UpstreamReport

__all__ = ('LimitChange', 'LimitStatement', 'LimitTable')

#: Seconds for which the end of a limit is passed on to other gateways, so that
#: an older statement of one of them does not revive it.
_ENDED_TTL_S = 10


@attrs.frozen
class LimitStatement:
    """What an upstream said last about its limit.

    `max_rate` is the number of requests per second that it accepts from all
    gateways together, or None if it names no limit any more. `stated_at` is
    when an answer said so, as a reading of this gateway's clock. `is_own` says
    whether this gateway received that answer.
    """

    max_rate: float | None
    stated_at: float
    is_own: bool = True


@attrs.frozen
class LimitChange:
    """A limit began, changed or ended; None stands for no limit."""

    instance: str
    before: float | None
    after: float | None
    is_own: bool


class LimitTable:
    """The limits in force, by upstream.

    A limit holds until an answer of the upstream names none. Gateways pass on
    what upstreams said, with its age; the latest statement counts.

        table.handle_report('orders-3', UpstreamReport(max_rate=1.3))
        table.max_rate('orders-3')  # 1.3

    `on_change` is called when a limit begins, changes or ends.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without limits."""
        self.on_change: Callable[[LimitChange], None] | None = None
        self._by_id: dict[str, LimitStatement] = {}
        self._clock = clock

    def max_rate(self, instance: str) -> float | None:
        """Return the limit in requests per second, or None without one."""
        found = self._by_id.get(instance)
        return None if found is None else found.max_rate

    def age_s(self, instance: str) -> float:
        """Return the seconds since an answer confirmed the limit."""
        return self._clock.now() - self._by_id[instance].stated_at

    def statements(self) -> Iterator[tuple[str, LimitStatement]]:
        """Yield what is known of each upstream that names or named a limit."""
        oldest = self._clock.now() - _ENDED_TTL_S
        for instance, found in tuple(self._by_id.items()):
            if found.max_rate is None and found.stated_at < oldest:
                self._by_id.pop(instance)
            else:
                yield instance, found

    def handle_report(self, instance: str, report: UpstreamReport) -> None:
        """Apply what an answer says about the limit.

        A limit that cannot be read changes nothing, and neither does a refusal
        that names none: only an answer to a request that ran ends a limit.
        """
        if report.malformed_limit is not None:
            return
        if report.max_rate is None:
            if report.is_refusal or self.max_rate(instance) is None:
                return
        now = self._clock.now()
        self._adopt(instance, LimitStatement(report.max_rate, now))

    def handle_peer(
        self, instance: str, max_rate: float | None, age_s: float
    ) -> None:
        """Apply what another gateway knows, unless this one knows later news.

        `age_s` is the time in seconds since an answer said so.
        """
        stated_at = self._clock.now() - age_s
        known = self._by_id.get(instance)
        if known is None or known.stated_at < stated_at:
            statement = LimitStatement(max_rate, stated_at, is_own=False)
            self._adopt(instance, statement)

    def forget(self, instance: str) -> None:
        """End the limit of an upstream that is gone or has restarted.

        Older statements of other gateways do not revive it.
        """
        if self.max_rate(instance) is not None:
            self._adopt(instance, LimitStatement(None, self._clock.now()))

    def _adopt(self, instance: str, statement: LimitStatement) -> None:
        before = self.max_rate(instance)
        after = statement.max_rate
        self._by_id[instance] = statement
        if before != after and self.on_change is not None:
            change = LimitChange(instance, before, after, statement.is_own)
            self.on_change(change)

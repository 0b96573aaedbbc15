"""Detection of failed upstreams and regions by the declared rules."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Envelope, Upstream

__all__ = ('FailureWatch', 'find_rule')

_LOSSES = frozenset((ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_UNREACHABLE))
#: Minimum time between two probes of an excluded upstream or failed region;
#: each probe is a caller's request that may fail.
_PROBE_INTERVAL_S = 0.5


def find_rule(
    rules: Mapping[str, Envelope],
    trigger: str,
    service: str,
    region: str,
) -> Envelope | None:
    """The rule with the lowest name for a trigger, service and region."""
    for _, rule in sorted(rules.items()):
        spec = rule.spec
        is_scope = spec.service in {'', service} and spec.region in {'', region}
        if spec.trigger == trigger and is_scope:
            return rule
    return None


@attrs.define
class _UpstreamRecord:
    losses: int = 0
    is_probed: bool = False
    last_probe_at: float = 0


@attrs.define
class _RegionRecord:
    failed_since: float | None = None
    last_probe_at: float = 0


class FailureWatch:
    """Tracks consecutive losses by upstream and silence by service and region.

    The watch only counts; the declared rule that is passed to its methods
    decides whether an upstream or a region counts as failed.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without recorded failures."""
        self._clock = clock
        self._by_upstream: dict[str, _UpstreamRecord] = {}
        self._by_region: dict[tuple[str, str], _RegionRecord] = (
            collections.defaultdict(_RegionRecord)
        )

    def record_result(
        self,
        name: str,
        upstream: Upstream,
        failure: ErrorKind | None,
    ) -> bool:
        """Record how a request ended; True if a lost upstream recovered."""
        region_record = self._by_region[upstream.service, upstream.region]
        if failure in _LOSSES:
            record = self._by_upstream.setdefault(name, _UpstreamRecord())
            record.losses += 1
            record.is_probed = False
            if region_record.failed_since is None:
                region_record.failed_since = self._clock.now()
            return False
        record = self._by_upstream.get(name)
        if failure not in {None, ErrorKind.UPSTREAM_REFUSED}:
            # A passed deadline or a disconnected caller says nothing about
            # the upstream, but it ends a probe.
            _end_probe(record)
            return False
        region_record.failed_since = None
        return self._by_upstream.pop(name, None) is not None

    def excluded(
        self,
        names: Iterable[str],
        rule: Envelope | None,
    ) -> list[str]:
        """The upstreams among `names` that the rule excludes now."""
        if rule is None or rule.spec.action != 'exclude':
            return []
        return [
            name
            for name in names
            if name in self._by_upstream
            and self._by_upstream[name].losses >= rule.spec.failures
        ]

    def may_probe(self, name: str) -> bool:
        """Whether an excluded upstream may get one request now."""
        record = self._by_upstream[name]
        due = record.last_probe_at + _PROBE_INTERVAL_S
        return not record.is_probed and self._clock.now() >= due

    def record_sent(self, name: str) -> None:
        """Mark an excluded upstream as probed until its next result."""
        record = self._by_upstream.get(name)
        if record is not None:
            record.is_probed = True
            record.last_probe_at = self._clock.now()

    def try_probe_region(self, service: str, region: str) -> bool:
        """Whether a probe of a failed region is due; records it as sent."""
        region_record = self._by_region[service, region]
        now = self._clock.now()
        if now < region_record.last_probe_at + _PROBE_INTERVAL_S:
            return False
        region_record.last_probe_at = now
        return True

    def has_failed(self, service: str, region: str, rule: Envelope) -> bool:
        """Whether no upstream of the region answered for `after_seconds`.

        The time is that of the rule, from the first loss on.
        """
        region_record = self._by_region.get((service, region))
        if region_record is None or region_record.failed_since is None:
            return False
        silence = self._clock.now() - region_record.failed_since
        return silence >= rule.spec.after_seconds


def _end_probe(record: _UpstreamRecord | None) -> None:
    if record is not None:
        record.is_probed = False

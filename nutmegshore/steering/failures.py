"""Upstreams and regions that failed, by the declared rules."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from nutmegshore.clock import Clock
from nutmegshore.errors import ErrorKind
from nutmegshore.resources import Envelope, Upstream

__all__ = ('FailureWatch', 'find_rule')

_LOSSES = frozenset((ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_UNREACHABLE))
#: Least time between two probes of an excluded upstream; each probe is a
#: caller's request that may fail.
_PROBE_INTERVAL_S = 0.5


def find_rule(
    rules: Mapping[str, Envelope],
    trigger: str,
    service: str,
    region: str,
) -> Envelope | None:
    """The rule with the lowest name for a trigger in this scope."""
    for _, rule in sorted(rules.items()):
        spec = rule.spec
        is_scope = spec.service in {'', service} and spec.region in {'', region}
        if spec.trigger == trigger and is_scope:
            return rule
    return None


@attrs.define
class _Record:
    losses: int = 0
    is_probed: bool = False
    last_probe_at: float = 0


@attrs.define
class _Place:
    failed_since: float | None = None
    last_probe_at: float = 0


class FailureWatch:
    """Consecutive losses by upstream and silence by service and region.

    Both are only counted here; whether anything follows is decided by the
    declared rule that the caller passes in.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing lost."""
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._places: dict[tuple[str, str], _Place] = collections.defaultdict(
            _Place,
        )

    def record_result(
        self,
        name: str,
        upstream: Upstream,
        failure: ErrorKind | None,
    ) -> bool:
        """Take the end of a request; True if the upstream has come back."""
        place = self._places[upstream.service, upstream.region]
        if failure in _LOSSES:
            record = self._records.setdefault(name, _Record())
            record.losses += 1
            record.is_probed = False
            if place.failed_since is None:
                place.failed_since = self._clock.now()
            return False
        record = self._records.get(name)
        if failure not in {None, ErrorKind.UPSTREAM_REFUSED}:
            # A deadline or a caller that went away says nothing about the
            # upstream, but it ends a probe.
            _end_probe(record)
            return False
        place.failed_since = None
        return self._records.pop(name, None) is not None

    def excluded(
        self,
        names: Iterable[str],
        rule: Envelope | None,
    ) -> list[str]:
        """Those of the upstreams that the rule takes out now."""
        if rule is None or rule.spec.action != 'exclude':
            return []
        return [
            name
            for name in names
            if name in self._records
            and self._records[name].losses >= rule.spec.failures
        ]

    def may_probe(self, name: str) -> bool:
        """Whether an excluded upstream may get one request now."""
        record = self._records[name]
        due = record.last_probe_at + _PROBE_INTERVAL_S
        return not record.is_probed and self._clock.now() >= due

    def record_sent(self, name: str) -> None:
        """Mark an excluded upstream as probed until its next result."""
        record = self._records.get(name)
        if record is not None:
            record.is_probed = True
            record.last_probe_at = self._clock.now()

    def try_probe_region(self, service: str, region: str) -> bool:
        """Whether a failed region is due for one request; marks it sent."""
        place = self._places[service, region]
        now = self._clock.now()
        if now < place.last_probe_at + _PROBE_INTERVAL_S:
            return False
        place.last_probe_at = now
        return True

    def has_failed(self, service: str, region: str, rule: Envelope) -> bool:
        """Whether no upstream of the region answered for the rule's time."""
        place = self._places.get((service, region))
        if place is None or place.failed_since is None:
            return False
        silence = self._clock.now() - place.failed_since
        return silence >= rule.spec.after_seconds


def _end_probe(record: _Record | None) -> None:
    if record is not None:
        record.is_probed = False

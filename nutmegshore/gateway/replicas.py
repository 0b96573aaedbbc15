"""Replicas of the three kinds of object that a gateway follows."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.events import (
    ConfigurationAdopted,
    ConfigurationRejected,
    CustomerRejected,
    EvacuationChanged,
)
from nutmegshore.gateway.follower import Replica
from nutmegshore.gateway.log import EventLog
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.rejected_entries import RejectedEntries
from nutmegshore.gateway.state import FleetState
from nutmegshore.gateway.upstream_events import UpstreamChanged
from nutmegshore.platform.configuration import (
    CONFIGURATION_KEY,
    parse_configuration,
)
from nutmegshore.platform.registration import (
    UPSTREAM_PREFIX,
    parse_upstream,
    parse_zone,
)
from nutmegshore.store import Change, StoredObject

__all__ = (
    'ConfigurationReplica',
    'EvacuationReplica',
    'ReplicaContext',
    'UpstreamReplica',
)


@attrs.frozen
class ReplicaContext:
    """Dependencies that the replicas of one gateway share.

    `rejected` holds the entries that cannot be read.
    """

    state: FleetState
    log: EventLog
    counters: Counters
    clock: Clock
    rejected: RejectedEntries = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda context: RejectedEntries(
                context.log, context.counters, context.clock
            ),
            takes_self=True,
        ),
    )


class ConfigurationReplica(Replica):
    """Applies the operator's configuration, and never an older one.

    `on_adopted` is called after each change, `in_force` is the object that the
    configuration in force was read from.
    """

    def __init__(self, context: ReplicaContext) -> None:
        """Start without a configuration."""
        self.on_adopted: Callable[[], None] | None = None
        self.in_force: StoredObject | None = None
        self._state = context.state
        self._log = context.log

    def replace(
        self,
        listed: Iterable[StoredObject],
        *,
        is_after_outage: bool,
    ) -> None:
        """Apply the configuration in a listing."""
        for stored in listed:
            self._apply_object(stored)

    def change(self, change: Change, *, is_after_outage: bool) -> None:
        """Apply a change; a removed configuration stays in force."""
        if change.stored is not None:
            self._apply_object(change.stored)

    def apply_told(self, stored: StoredObject) -> None:
        """Apply what another gateway has in force, unless it is older."""
        if self.find_start(stored) is not None and self._is_later(stored):
            self._apply_object(stored)

    def find_start(self, stored: StoredObject) -> int | None:
        """Return the version: an earlier one is back by a restore only."""
        try:
            return parse_configuration(stored.body).version
        except PlatformFormatError:
            # Logged when the configuration itself is read.
            return None

    def _is_later(self, stored: StoredObject) -> bool:
        present = self._state.configuration
        version = parse_configuration(stored.body).version
        return present is None or version > present.version

    def _apply_object(self, stored: StoredObject) -> None:
        if stored.key != CONFIGURATION_KEY:
            return
        previous = self._state.configuration
        try:
            found = parse_configuration(stored.body)
        except PlatformFormatError as failure:
            self._reject(stored, str(failure))
            return
        if not self._state.adopt(found):
            if previous is not None and found.version < previous.version:
                self._reject(stored, 'older than the one in force')
            return
        self.in_force = stored
        event = ConfigurationAdopted(
            found.version,
            previous.version if previous else 0,
            len(found.routes),
            stored.version,
        )
        self._log.write(event)
        for rejected in found.customers.rejected:
            self._log.write(
                CustomerRejected(rejected.name, found.version, rejected.reason)
            )
        if self.on_adopted is not None:
            self.on_adopted()

    def _reject(self, stored: StoredObject, reason: str) -> None:
        self._log.write(ConfigurationRejected(stored.version, reason))


class EvacuationReplica(Replica):
    """Replicates the set of evacuated availability zones."""

    def __init__(self, context: ReplicaContext) -> None:
        """Start without evacuations."""
        self._state = context.state
        self._log = context.log
        self._zones: set[str] = set()

    def replace(
        self,
        listed: Iterable[StoredObject],
        *,
        is_after_outage: bool,
    ) -> None:
        """Replace all evacuations by those of a listing."""
        stored = tuple(listed)
        zones = (_find_zone(one.key) for one in stored)
        self._zones = {zone for zone in zones if zone}
        self._apply(max((one.version for one in stored), default=0))

    def change(self, change: Change, *, is_after_outage: bool) -> None:
        """Apply the start or the end of one evacuation."""
        zone = _find_zone(change.key)
        if change.stored is None or not zone:
            self._zones.discard(zone)
        else:
            self._zones.add(zone)
        self._apply(change.stored.version if change.stored else 0)

    def _apply(self, revision: int) -> None:
        if self._state.replace_evacuated(self._zones):
            zones = sorted(self._zones)
            self._log.write(EvacuationChanged(zones, revision))


def _find_zone(key: str) -> str:
    """Return the zone that an evacuation names; '' if it names none."""
    try:
        return parse_zone(key)
    except PlatformFormatError:
        return ''


class UpstreamReplica(Replica):
    """Replicates the registered upstreams; rejects invalid entries."""

    has_leases = True

    def __init__(
        self,
        context: ReplicaContext,
        regions_by_zone: Mapping[str, str],
        on_gone: Callable[[str], None],
    ) -> None:
        """Call `on_gone` with the name of each removed upstream."""
        self._state = context.state
        self._log = context.log
        self._regions_by_zone = regions_by_zone
        self._on_gone = on_gone
        self._rejected = context.rejected

    def replace(
        self,
        listed: Iterable[StoredObject],
        *,
        is_after_outage: bool,
    ) -> None:
        """Replace all registrations by those of a listing."""
        stored = {one.key: one for one in listed}
        self._rejected.retain(UPSTREAM_PREFIX, stored)
        parsed = {key: self._parse(one) for key, one in stored.items()}
        found = [upstream for upstream in parsed.values() if upstream]
        before = dict(self._state.by_id)
        for key, upstream in parsed.items():
            if upstream:
                self._detect_change(upstream, stored[key].version)
        self._state.replace_upstreams(found, is_after_outage=is_after_outage)
        for instance, upstream in before.items():
            if instance not in self._state.by_id:
                self._report_gone(upstream)

    def change(self, change: Change, *, is_after_outage: bool) -> None:
        """Apply one registration or its removal."""
        instance = change.key.partition('/')[2]
        if change.stored is None:
            self._rejected.discard(change.key)
            self._drop(instance, is_after_outage=is_after_outage)
            return
        upstream = self._parse(change.stored)
        if upstream is None:
            self._drop(instance, is_after_outage=False)
            return
        self._detect_change(upstream, change.stored.version)
        self._state.put(upstream)

    def find_start(self, stored: StoredObject) -> int | None:
        """Return the start time of the upstream that wrote an entry."""
        try:
            found = parse_upstream(
                stored.key, stored.body, self._regions_by_zone
            )
        except PlatformFormatError:
            # Logged when the entry itself is read.
            return None
        return found.born_ms or None

    def expire(self) -> None:
        """Remove upstreams that are still missing some time after an outage."""
        before = dict(self._state.by_id)
        for instance in self._state.expire_missing():
            self._report_gone(before[instance])

    def _drop(self, instance: str, *, is_after_outage: bool) -> None:
        upstream = self._state.by_id.get(instance)
        if upstream is None:
            return
        self._state.drop(instance, is_after_outage=is_after_outage)
        if instance in self._state.by_id:
            self._log_change(upstream, 'missing', 0)
        else:
            self._report_gone(upstream)

    def _parse(self, stored: StoredObject) -> RegisteredUpstream | None:
        """Return what an entry reports, or the later report that is known."""
        try:
            found = parse_upstream(
                stored.key,
                stored.body,
                self._regions_by_zone,
            )
        except PlatformFormatError as failure:
            self._rejected.add(stored, str(failure))
            return None
        self._rejected.discard(stored.key)
        known = self._state.by_id.get(found.instance)
        if known is None or found.follows(known):
            return found
        return known

    def _detect_change(
        self, upstream: RegisteredUpstream, revision: int
    ) -> None:
        before = self._state.by_id.get(upstream.instance)
        if before is not None and before.identity != upstream.identity:
            # A restarted upstream has none of the state of its predecessor.
            self._on_gone(upstream.instance)
            self._log_change(upstream, 'restarted', revision)
        was_draining = before.is_draining if before else None
        if was_draining != upstream.is_draining:
            change = 'draining' if upstream.is_draining else 'ready'
            self._log_change(upstream, change, revision)

    def _report_gone(self, upstream: RegisteredUpstream) -> None:
        self._on_gone(upstream.instance)
        self._log_change(upstream, 'gone', 0)

    def _log_change(
        self, upstream: RegisteredUpstream, change: str, revision: int
    ) -> None:
        event = UpstreamChanged(
            upstream.instance,
            upstream.service,
            upstream.availability_zone,
            change,
            revision,
        )
        self._log.write(event)

"""A gateway's view of configuration, upstreams and evacuations."""

from collections.abc import Iterable

from nutmegshore.clock import Clock
from nutmegshore.gateway.cold_starts import ColdStarts
from nutmegshore.gateway.peer_configurations import PeerConfigurations
from nutmegshore.gateway.departures import Departures
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.replica_view import ReplicaView
from nutmegshore.gateway.route import Configuration

__all__ = ('FleetState',)


class FleetState:
    """The operator's configuration and the upstreams that accept requests.

    The configuration version never decreases. An upstream whose entry is
    missing after a store outage is kept until `expire_missing`, since entries
    expire while their owners cannot reach the store. `upstreams_view` tells how
    old the upstreams are, `configuration_view` how old the configuration is,
    `peer_configurations` what other gateways have in force.

        state.replace_upstreams(found, is_after_outage=True)
        state.usable('orders')
    """

    def __init__(self, clock: Clock) -> None:
        """Start without configuration, upstreams and evacuations."""
        self.configuration: Configuration | None = None
        self.configured_at = float(0)
        self.upstreams_known = False
        self.zones_known = False
        self.evacuated: frozenset[str] = frozenset()
        self.by_id: dict[str, RegisteredUpstream] = {}
        self.upstreams_view = ReplicaView(clock)
        self.configuration_view = ReplicaView(clock)
        self.peer_configurations = PeerConfigurations(clock)
        self._clock = clock
        self.cold_starts = ColdStarts(clock, self._cold_s)
        self._missing: set[str] = set()
        self._usable: dict[str, tuple[RegisteredUpstream, ...]] = {}
        self._moved: dict[str, RegisteredUpstream] = {}
        self.departures = Departures(self.by_id, self._usable.clear)

    @property
    def is_complete(self) -> bool:
        """Whether all state that a request needs has been loaded."""
        is_configured = self.configuration is not None
        return is_configured and self.upstreams_known and self.zones_known

    @property
    def missing(self) -> str:
        """Names of the state not loaded yet, for messages; empty if none."""
        loaded = (
            ('configuration', self.configuration is not None),
            ('upstreams', self.upstreams_known),
            ('evacuations', self.zones_known),
        )
        return ', '.join(name for name, is_loaded in loaded if not is_loaded)

    def adopt(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the current one."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.peer_configurations.version = configuration.version
        self.configured_at = self._clock.now()
        return True

    def replace_evacuated(self, zones: Iterable[str]) -> bool:
        """Replace the evacuated zones; True if they changed."""
        found = frozenset(zones)
        returned = self.evacuated - found
        is_new = found != self.evacuated
        self.evacuated = found
        self.zones_known = True
        self._usable.clear()
        for upstream in self.by_id.values():
            if upstream.availability_zone in returned:
                self.cold_starts.handle_return(upstream)
        return is_new

    def replace_upstreams(
        self,
        found: Iterable[RegisteredUpstream],
        *,
        is_after_outage: bool,
    ) -> None:
        """Replace all upstreams by those of a listing."""
        listed = {upstream.instance: upstream for upstream in found}
        for instance in set(self.by_id) - set(listed):
            self.drop(instance, is_after_outage=is_after_outage)
        for upstream in listed.values():
            self.put(upstream)
        self.upstreams_known = True

    def put(self, upstream: RegisteredUpstream) -> None:
        """Add an upstream or replace its entry."""
        name = upstream.instance
        self._missing.discard(name)
        self.by_id[name] = upstream
        moved = self._moved.get(name)
        if moved is not None and moved.identity != upstream.identity:
            self._moved.pop(name)
        self.cold_starts.register(upstream)
        self._usable.clear()

    def drop(self, instance: str, *, is_after_outage: bool) -> None:
        """Remove an upstream, or keep it as missing if it may reappear."""
        upstream = self.by_id.get(instance)
        if upstream is None:
            return
        is_leaving = self.departures.is_leaving(upstream)
        if is_after_outage and not is_leaving:
            self._missing.add(instance)
            return
        self._forget(instance)

    def expire_missing(self) -> list[str]:
        """Remove the upstreams that are missing; return their names."""
        gone = sorted(self._missing)
        for name in gone:
            self._forget(name)
        return gone

    def mark_moved(self, upstream: RegisteredUpstream) -> None:
        """Exclude an upstream whose address now belongs to another."""
        self._moved[upstream.instance] = upstream
        self._usable.clear()

    def usable(self, service: str) -> tuple[RegisteredUpstream, ...]:
        """Upstreams of a service that accept new requests."""
        found = self._usable.get(service)
        if found is None:
            found = tuple(
                upstream
                for upstream in self.by_id.values()
                if upstream.service == service and self.is_usable(upstream)
            )
            self._usable[service] = found
        return found

    def is_usable(self, upstream: RegisteredUpstream) -> bool:
        """Whether a registered upstream accepts new requests."""
        is_evacuated = upstream.availability_zone in self.evacuated
        is_moved = upstream.instance in self._moved
        is_leaving = self.departures.is_leaving(upstream)
        return not (is_leaving or is_evacuated or is_moved)

    def is_cold(self, instance: str) -> bool:
        """Whether an upstream is cold, or may be."""
        return self.cold_left_s(instance) > 0

    def cold_left_s(self, instance: str) -> float:
        """Seconds for which an upstream stays cold, or 0.

        Infinite if it may have started again, and nothing was heard since.
        """
        return self.cold_starts.left_s(instance)

    def _cold_s(self, service: str) -> float:
        if self.configuration is None:
            return 0
        return self.configuration.rules(service).cold_s

    def _forget(self, instance: str) -> None:
        self._missing.discard(instance)
        gone = self.by_id.pop(instance, None)
        if gone is not None:
            self.departures.end(gone)
        self.cold_starts.forget(instance)
        self._moved.pop(instance, None)
        self._usable.clear()

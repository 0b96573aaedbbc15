"""Gauges of a gateway, computed on each scrape."""

from collections.abc import Callable

import attrs

from nutmegshore.balancing.candidate_builder import CandidateBuilder
from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.balancing.region_choice import RegionChooser
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.rejected_entries import RejectedEntries
from nutmegshore.gateway.state import FleetState
from nutmegshore.listener import ByteBudget
from nutmegshore.store import StoreEras

__all__ = ('GaugeSources', 'Gauges')

#: Gauges whose series change with upstreams, peers and evacuations.
_DYNAMIC_GAUGES = (
    'customer_quota_admitted_fraction',
    'customer_quota_asked_per_second',
    'customer_quota_sent_in_window',
    'entries_rejected_now',
    'peer_message_wait_seconds',
    'peer_report_age_seconds',
    'region_away_fraction',
    'region_room',
    'spillover_fraction',
    'upstream_leaving_by_answer',
    'upstream_limit_age_seconds',
    'upstream_limit_per_second',
    'upstream_limit_share_per_second',
    'upstream_pause_seconds',
    'upstream_report_age_seconds',
    'upstream_room',
)


@attrs.frozen
class GaugeSources:
    """Objects that the gauges read; `in_flight` counts running requests."""

    state: FleetState
    candidate_builder: CandidateBuilder
    chooser: RegionChooser
    peering: Peering
    followers: tuple[KindFollower, ...]
    rejected: RejectedEntries
    in_flight: Callable[[], int]
    clock: Clock
    counters: Counters
    eras: StoreEras | None = None
    quotas: CustomerQuotas | None = None
    budget: ByteBudget | None = None


class Gauges:
    """Exports the state of a gateway and the age of each part of it.

    Nothing is computed between scrapes. Series of upstreams and peers that
    no longer exist are dropped.

        gauges.refresh()
        write_exposition(counters)
    """

    def __init__(self, sources: GaugeSources) -> None:
        """Export the state of one gateway."""
        self._sources = sources
        self._counters = sources.counters

    def refresh(self) -> None:
        """Set all gauges to their current values."""
        for metric in _DYNAMIC_GAUGES:
            self._counters.drop_gauge(metric)
        in_flight = self._sources.in_flight()
        self._counters.set_gauge('requests_in_flight', in_flight)
        self._set_budget()
        self._set_configuration()
        self._set_store()
        self._set_peers()
        self._set_upstreams()
        self._set_leaving()
        self._set_moves()
        self._set_quotas()

    def _set_budget(self) -> None:
        budget = self._sources.budget
        if budget is not None:
            self._counters.set_gauge('caller_bytes_held', budget.used)
            self._counters.set_gauge('caller_bytes_limit', budget.limit)

    def _set_configuration(self) -> None:
        state = self._sources.state
        if state.configuration is None:
            return
        version = state.configuration.version
        age_s = self._sources.clock.now() - state.configured_at
        self._counters.set_gauge('configuration_version', version)
        self._counters.set_gauge('configuration_age_seconds', age_s)
        view = state.configuration_view
        self._counters.set_gauge('configuration_view_age_seconds', view.age_s)

    def _set_store(self) -> None:
        if self._sources.eras is not None:
            self._counters.set_gauge('store_era', self._sources.eras.newest)
        for follower in self._sources.followers:
            kind = follower.prefix
            is_store_reachable = int(follower.is_store_reachable)
            self._counters.set_gauge(
                'store_in_touch', is_store_reachable, kind=kind
            )
            self._counters.set_gauge(
                'store_revision', follower.known.position.revision, kind=kind
            )
            if follower.is_listed:
                self._counters.set_gauge(
                    'store_view_age_seconds', follower.view.age_s, kind=kind
                )
                self._counters.set_gauge(
                    'store_listing_age_seconds',
                    follower.age_s,
                    kind=kind,
                )

        for kind, count in self._sources.rejected.counts().items():
            self._counters.set_gauge('entries_rejected_now', count, kind=kind)

    def _set_peers(self) -> None:
        for peer, age_s in self._sources.peering.report_ages().items():
            self._counters.set_gauge(
                'peer_report_age_seconds',
                age_s,
                peer=peer,
            )

        for peer, wait_s in self._sources.peering.transit_times.waits().items():
            self._counters.set_gauge(
                'peer_message_wait_seconds', wait_s, peer=peer
            )

    def _set_moves(self) -> None:
        """Set what should run in other regions, and what did."""
        chooser = self._sources.chooser
        for service, fraction in chooser.spillover.fractions().items():
            self._counters.set_gauge(
                'spillover_fraction', fraction, service=service
            )
        for service, fraction in chooser.remote_success.fractions().items():
            self._counters.set_gauge(
                'remote_in_time_fraction', fraction, service=service
            )
        away_fraction = chooser.shift_bound.region_away_fraction
        if away_fraction is not None:
            self._counters.set_gauge('region_away_fraction', away_fraction)

    def _set_quotas(self) -> None:
        """Set the use of quotas by all gateways, as this one knows it."""
        if self._sources.quotas is None:
            return
        for customer, state in self._sources.quotas.states().items():
            labels = {'customer': customer}
            for metric, number in (
                ('customer_quota_admitted_fraction', state.fraction),
                ('customer_quota_asked_per_second', state.asked_rate),
                ('customer_quota_sent_in_window', state.sent),
            ):
                self._counters.set_gauge(metric, number, **labels)

    def _set_upstreams(self) -> None:
        free_slots: dict[tuple[str, str], int] = {}
        for upstream in self._sources.state.by_id.values():
            place = (upstream.service, upstream.region)
            free_slots[place] = free_slots.get(place, 0) + self._set_upstream(
                upstream
            )
        for (service, region), slots in free_slots.items():
            self._counters.set_gauge(
                'region_room',
                slots,
                service=service,
                region=region,
            )

    def _set_leaving(self) -> None:
        """Set the gauge of upstreams that get nothing while registered."""
        for upstream in self._sources.state.departures.by_answer_only():
            self._counters.set_gauge(
                'upstream_leaving_by_answer',
                1,
                upstream=upstream.instance,
                service=upstream.service,
            )

    def _set_upstream(self, upstream: RegisteredUpstream) -> int:
        """Set the gauges of one upstream; return its free slots."""
        load = self._sources.candidate_builder.load
        name = upstream.instance
        labels = {'upstream': name, 'service': upstream.service}
        is_usable = self._sources.state.is_usable(upstream)
        unused = (
            max(upstream.slots - load.estimate(name), 0) if is_usable else 0
        )
        self._counters.set_gauge('upstream_room', unused, **labels)
        age_s = load.report_age_s(name)
        if age_s is not None:
            metric = 'upstream_report_age_seconds'
            self._counters.set_gauge(metric, age_s, **labels)
        self._set_limit(upstream, labels)
        self._set_pause(upstream, labels)
        return unused

    def _set_limit(
        self, upstream: RegisteredUpstream, labels: dict[str, str]
    ) -> None:
        """Set the gauges of an upstream that names a limit."""
        name = upstream.instance
        limits = self._sources.candidate_builder.limits
        max_rate = limits.max_rate(name)
        if max_rate is None:
            return
        metric = 'upstream_limit_per_second'
        self._counters.set_gauge(metric, max_rate, **labels)
        metric = 'upstream_limit_age_seconds'
        self._counters.set_gauge(metric, limits.age_s(name), **labels)
        shares = self._sources.candidate_builder.limit_shares
        metric = 'upstream_limit_share_per_second'
        self._counters.set_gauge(metric, shares.rate(upstream), **labels)

    def _set_pause(
        self, upstream: RegisteredUpstream, labels: dict[str, str]
    ) -> None:
        """Set the rest of the pause that an upstream asked for."""
        pauses = self._sources.candidate_builder.pauses
        if pauses.is_on_trial(upstream):
            left_s = pauses.left_s(upstream)
            self._counters.set_gauge('upstream_pause_seconds', left_s, **labels)

"""Reports between the gateways in the model of quotas."""

import collections
import functools
import random
from collections.abc import Mapping

import attrs

from bench.event_clock import EventClock
from bench.quota_faults import Views
from nutmegshore.balancing.customer_quotas import CustomerQuotas

__all__ = (
    'ZONES',
    'Gateway',
    'Reports',
    'gateway_names',
    'region_of',
    'zone_of',
)

_REGIONS = ('west', 'north', 'south')
#: Two zones in each region.
ZONES = 2 * len(_REGIONS)
_REPORT_INTERVAL_S = 0.25
_AGGREGATORS = 2
_BETWEEN_REGIONS_S = 0.055
_BETWEEN_ZONES_S = 0.0014


def gateway_names(count: int) -> list[str]:
    """Return the names of a fleet's gateways."""
    return ['g{0:03}'.format(number) for number in range(count)]


def zone_of(name: str) -> int:
    """Return the number of a gateway's zone."""
    return int(name[1:]) % (ZONES)


def region_of(name: str) -> str:
    """Return the region of a gateway."""
    return _REGIONS[zone_of(name) % len(_REGIONS)]


@attrs.define(eq=False)
class Gateway:
    """A gateway, and the rate that its configuration has."""

    name: str
    quotas: CustomerQuotas
    max_rate: float
    turn: int = 0


#: Gateways by region.
_Seen = dict[str, list[str]]


class Reports:
    """Sends the reports of gateways, with the delays and faults of links."""

    def __init__(
        self,
        clock: EventClock,
        views: Views,
        gateways: Mapping[str, Gateway],
        end_s: float,
    ) -> None:
        """Report until a time on the clock."""
        self._clock = clock
        self._views = views
        self._gateways = gateways
        self._end_s = end_s
        self._seen_cache: dict[tuple, _Seen] = {}

    def start(self, rng: random.Random) -> None:
        """Let each gateway report from a moment of its own on."""
        for name in self._gateways:
            at_s = rng.random() * _REPORT_INTERVAL_S
            self._clock.after(at_s, functools.partial(self._tick, name))

    def send_all(self, gateway: Gateway) -> None:
        """Send the messages of ways that have some of their own."""
        outbox = getattr(gateway.quotas, 'outbox', [])
        while outbox:
            receiver, method, fields = outbox.pop(0)
            self._send(gateway.name, receiver, method, *fields)

    def _tick(self, name: str) -> None:
        now = self._clock.now()
        if now > self._end_s:
            return
        until = self._views.paused_until(name)
        if until > now:
            self._clock.after(until - now, functools.partial(self._tick, name))
            return
        self._clock.after(
            _REPORT_INTERVAL_S, functools.partial(self._tick, name)
        )
        if not self._views.is_dead(name):
            self._report(self._gateways[name])

    def _report(self, gateway: Gateway) -> None:
        """Do what `Peering.report` does."""
        gateway.turn += 1
        aggregators = self._aggregators(gateway, region_of(gateway.name))
        receiver = aggregators[gateway.turn % len(aggregators)]
        counts = gateway.quotas.own(receiver)
        if receiver == gateway.name:
            self._send_region(gateway)
            self._send_summary(gateway)
            return
        known = gateway.quotas.known_gateways()
        fields = (gateway.name, counts, 1, known)
        self._send(gateway.name, receiver, 'adopt', *fields)

    def _send_region(self, gateway: Gateway) -> None:
        """Send the sums of a region to the aggregators of the others."""
        region = region_of(gateway.name)
        seen = self._seen(gateway.name)
        summed = gateway.quotas.sum_sources(seen[region])
        known = gateway.quotas.known_gateways()
        fields = (f'region {region}', *summed, known)
        for other in sorted(seen.keys() - {region}):
            for name in self._aggregators(gateway, other):
                self._send(gateway.name, name, 'adopt', *fields)

    def _send_summary(self, gateway: Gateway) -> None:
        """Send the sums of all regions to the gateways of a region."""
        region = region_of(gateway.name)
        seen = self._seen(gateway.name)
        regions = [f'region {one}' for one in seen if one != region]
        summed = gateway.quotas.sum_sources([*seen[region], *regions])
        known = gateway.quotas.known_gateways()
        fields = (gateway.name, *summed, known)
        for name in seen[region]:
            if name != gateway.name:
                self._send(gateway.name, name, 'adopt_summary', *fields)

    def _aggregators(self, gateway: Gateway, region: str) -> list[str]:
        return self._seen(gateway.name)[region][:_AGGREGATORS]

    def _send(
        self, sender: str, receiver: str, method: str, *fields: object
    ) -> None:
        if self._views.is_lost(sender, receiver):
            return
        delay_s = _BETWEEN_ZONES_S
        if region_of(sender) != region_of(receiver):
            delay_s = _BETWEEN_REGIONS_S
        sent_at = self._clock.now()
        deliver = functools.partial(
            self._deliver, receiver, method, sent_at, fields
        )
        self._clock.after(delay_s, deliver)

    def _deliver(
        self, receiver: str, method: str, sent_at: float, fields: tuple
    ) -> None:
        now = self._clock.now()
        until = self._views.paused_until(receiver)
        if until > now:
            self._clock.after(
                until - now,
                functools.partial(
                    self._deliver, receiver, method, sent_at, fields
                ),
            )
        elif not self._views.is_dead(receiver):
            gateway = self._gateways[receiver]
            getattr(gateway.quotas, method)(*fields, now - sent_at)
            self.send_all(gateway)

    def _seen(self, name: str) -> dict[str, list[str]]:
        """Return the gateways that one takes for alive, by region."""
        seen = self._views.seen(name)
        key = tuple(seen)
        found = self._seen_cache.get(key)
        if found is None:
            found = collections.defaultdict(list)
            for one in seen:
                found[region_of(one)].append(one)
            for region, names in found.items():
                found[region] = _put_aggregators_first(names)
            self._seen_cache[key] = found
        return found


def _put_aggregators_first(names: list[str]) -> list[str]:
    """Return the names of a region; the second one is in the other zone."""
    first, *others = names
    zone = zone_of(first)
    others.sort(key=lambda name: zone_of(name) == zone)
    return [first, *others]

"""How much of a quota may be used, from what is known of the fleet."""

import math

import attrs

from nutmegshore.balancing.quota_counts import ASKED_S, LEAVING_S, Count

__all__ = ('DELAY_S', 'FleetUse', 'QuotaBounds', 'QuotaPlan')

#: Seconds after which all gateways know of a request, if no message is late: a
#: report to an aggregator each half second, its sums, those of another region.
DELAY_S = 1.1
#: Seconds for which a rise of the rate is taken to have gone on unseen: sums
#: are 0.5 s behind on average, and the rate is measured over as long.
_MEAN_DELAY_S = 1
#: Fraction of what the bounds allow in a window that is ever planned for. The
#: rest covers requests that are sent later than they were admitted.
_USED_FRACTION = 0.95
#: Fraction of the overage and the slack that is planned for while the demand is
#: about the quota, so that its chance peaks are not refused. The rest covers
#: requests that no report contains yet.
_SPARE_FRACTION = 0.5
#: The demand is about the quota up to this multiple of it, and this multiple of
#: the usual deviation.
_CALM_FACTOR = 1.5
_CHANCE = 3
#: Fraction by which a gateway without any report of the others plans for less.
#: Gateways notice at different times that reports have ended, and what they use
#: is not divided as their parts are.
_HIDDEN_MARGIN = 0.2
#: Least part of the gateways from which the demand of all is estimated.
_MIN_FRACTION = 0.1
#: Seconds in which the requests of a window are brought to those planned for.
#: Less than twice the delay of the reports makes the rate oscillate.
_SETTLING_S = 2.3


@attrs.frozen
class QuotaBounds:
    """What a quota allows all gateways together.

    In any `window_s` seconds, at most (rate x window + burst) x (1 + `overage`)
    + `slack` requests run.
    """

    window_s: float = 5
    overage: float = 0.1
    slack: float = 20

    def allowed(self, max_rate: float, burst: float) -> float:
        """Return the number of requests that may run in a window."""
        planned = max_rate * self.window_s + burst
        return planned * (1 + self.overage) + self.slack


@attrs.frozen
class FleetUse:
    """What is known of the use of a quota.

    `fraction` is the part of the gateways whose reports are recent. `own` is
    the count of this gateway, `others` that of those, of which `asked_rate` is
    the demand in requests per second, all together, and `own_part` that of this
    gateway. `held` is what the others may have sent in the window, with those
    whose reports have ended.
    """

    own: Count
    others: Count
    asked_rate: float
    own_part: float
    held: float
    fraction: float

    @property
    def sent(self) -> float:
        """Requests of the window that are reported."""
        return self.own.sent + self.others.sent

    @property
    def sent_or_held(self) -> float:
        """Requests that may be in the window."""
        return self.own.sent + self.held

    def unseen(self, window_s: float) -> float:
        """Return the requests sent since the reports, if the rate has risen."""
        usual_rate = self.others.sent / window_s
        return max(self.others.latest / ASKED_S - usual_rate, 0) * _MEAN_DELAY_S


@attrs.frozen
class QuotaPlan:
    """What all gateways that report may send of a quota now.

    Gateways that do not report may be alive and use their part, so that the
    others plan for the rest only.

        plan = QuotaPlan(bounds, customer.max_rate, customer.burst, use)
        if use.asked_rate <= plan.permitted_rate:
            ...
    """

    bounds: QuotaBounds
    max_rate: float
    burst: float
    use: FleetUse

    @property
    def permitted_rate(self) -> float:
        """Requests per second that the gateways may send.

        It is what leaves the window, at most the quota, corrected by how much
        more or less than planned is in it.
        """
        use = self.use
        leaving = use.own.leaving + use.others.leaving
        leaving_rate = min(
            self.max_rate * use.fraction,
            self._part / self.bounds.window_s,
            leaving / LEAVING_S,
        )
        # What this gateway sends itself is known at once.
        settling_s = _SETTLING_S + use.own_part * (ASKED_S - _SETTLING_S)
        return max(leaving_rate + self._missing / settling_s, 0)

    @property
    def headroom(self) -> float:
        """Requests by which a window may exceed the present one."""
        use = self.use
        allowed = _USED_FRACTION * self._allowed
        room = min(
            allowed * use.fraction - use.sent, allowed - use.sent_or_held
        )
        return max(room, 0)

    @property
    def _allowed(self) -> float:
        return self.bounds.allowed(self.max_rate, self.burst)

    @property
    def _whole(self) -> float:
        """Requests of a window that are planned for at all gateways.

        What is spare covers those that do not report as well.
        """
        quota = self.max_rate * self.bounds.window_s + self.burst
        spare = _SPARE_FRACTION * (self._allowed - quota)
        return quota + spare * self._calm * self.use.fraction

    @property
    def _part(self) -> float:
        """The part of them for the gateways that report."""
        fraction = self.use.fraction
        return self._whole * fraction * (1 - _HIDDEN_MARGIN * (1 - fraction))

    @property
    def _missing(self) -> float:
        """Requests that the present window has less than planned."""
        use = self.use
        unused = (self._whole - use.sent_or_held) * use.fraction
        unseen = use.unseen(self.bounds.window_s)
        return min(self._part - use.sent, unused) - unseen

    @property
    def _calm(self) -> float:
        """1 while the demand may be about the quota, else down to 0.

        In a few requests, a multiple of the quota comes by chance.
        """
        quota = self.max_rate * ASKED_S
        chance = _CHANCE * (math.sqrt(quota) + 1)
        fraction = max(self.use.fraction, _MIN_FRACTION)
        asked = self.use.asked_rate * ASKED_S / fraction
        excess = asked - _CALM_FACTOR * quota - chance
        return min(max(1 - excess / (quota + chance), 0), 1)

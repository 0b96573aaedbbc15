"""How much of a quota may be used, from what is known of the fleet."""

import math

import attrs

from nutmegshore.balancing.quota_counts import ASKED_S, LEAVING_S, Count

__all__ = ('DELAY_S', 'FleetUse', 'QuotaBounds', 'headroom', 'permitted_rate')

#: Seconds after which all gateways know of a request, unless messages are late:
#: a report to an aggregator each half second, its sums, those of another region.
DELAY_S = 1.1
#: Seconds that the sums are behind on average.
_MEAN_DELAY_S = 0.6
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
#: Shorter than twice the delay of the reports, the rate would oscillate.
_SETTLING_S = 2


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

    `fraction` is the part of the gateways whose reports are recent. They and
    this gateway have the `count`, of which `asked_rate` is the demand in
    requests per second, and `own_part` that of this gateway. `others` is the
    count without this gateway. `held` is what may have been sent in the window by
    those whose reports have ended as well.
    """

    asked_rate: float
    count: Count
    others: Count
    own_part: float
    held: float
    fraction: float


def permitted_rate(
    bounds: QuotaBounds, max_rate: float, burst: float, use: FleetUse
) -> float:
    """Return the requests per second that the reporting gateways may send.

    It is what leaves the window, at most the quota, corrected by how much more
    or less than planned is in it. Gateways that do not report may be alive and
    use their part, so that the others plan for the rest only. What was sent
    since the reports is estimated from a rise of the rate.
    """
    allowed = bounds.allowed(max_rate, burst)
    quota = max_rate * bounds.window_s + burst
    spare = _SPARE_FRACTION * (allowed - quota) * _calm(use, max_rate)
    hidden = 1 - use.fraction
    part = (quota + spare) * use.fraction * (1 - _HIDDEN_MARGIN * hidden)
    rise = use.others.latest / ASKED_S - use.others.sent / bounds.window_s
    unseen = max(rise, 0) * _MEAN_DELAY_S
    unused = (quota + spare - use.held) * use.fraction
    missing = min(part - use.count.sent, unused) - unseen
    leaving_rate = min(
        max_rate * use.fraction,
        part / bounds.window_s,
        use.count.leaving / LEAVING_S,
    )
    # What this gateway sends itself is known at once.
    settling_s = _SETTLING_S + use.own_part * (ASKED_S - _SETTLING_S)
    return max(leaving_rate + missing / settling_s, 0)


def headroom(
    bounds: QuotaBounds, max_rate: float, burst: float, use: FleetUse
) -> float:
    """Return how many more requests than now a window may have."""
    allowed = bounds.allowed(max_rate, burst) * _USED_FRACTION
    return max(
        min(allowed * use.fraction - use.count.sent, allowed - use.held), 0
    )


def _calm(use: FleetUse, max_rate: float) -> float:
    """Return 1 while the demand may be about the quota, else down to 0.

    In a few requests, a multiple of the quota comes by chance.
    """
    quota = max_rate * ASKED_S
    chance = _CHANCE * (math.sqrt(quota) + 1)
    asked = use.asked_rate * ASKED_S / max(use.fraction, _MIN_FRACTION)
    excess = asked - _CALM_FACTOR * quota - chance
    return min(max(1 - excess / (quota + chance), 0), 1)

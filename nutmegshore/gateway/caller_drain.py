"""End of the callers' requests at a gateway that stops."""

import asyncio

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.listener import CallerServer

__all__ = ('DrainTimes', 'drain_callers')

#: Seconds at the end of a grace period in which nothing is at work, and the
#: part of a short one.
_CLOSE_S = 0.4
_CLOSE_FRACTION = 1 / 6
#: Part of that time in which unanswered requests get an error.
_LAST_ANSWERS_FRACTION = 0.5


@attrs.frozen
class DrainTimes:
    """How long a drain waits for answers, and for the last errors after that.

    times = DrainTimes.of_grace(6.0)
    """

    work_s: float
    last_answers_s: float

    @classmethod
    def of_grace(cls, grace_s: float) -> 'DrainTimes':
        """Divide a grace period; most of it is for the upstreams' work."""
        close_s = min(_CLOSE_S, _CLOSE_FRACTION * grace_s)
        return cls(grace_s - close_s, _LAST_ANSWERS_FRACTION * close_s)


async def drain_callers(
    callers: CallerServer,
    forwarder: GatewayForwarder,
    clock: Clock,
    ends_at: float,
    last_answers_s: float,
) -> int:
    """Finish all requests; returns how many had to be cut.

    Those that have no answer when the clock shows `ends_at` get an error, and
    `last_answers_s` later those that could not take one are cut.
    """
    if await _can_finish(callers, ends_at - clock.now()):
        return 0
    forwarder.end_requests()
    if await _can_finish(callers, last_answers_s):
        return 0
    cut = forwarder.in_flight
    await callers.close_all_connections()
    return cut


async def _can_finish(callers: CallerServer, within_s: float) -> bool:
    try:
        async with asyncio.timeout(max(within_s, 0)):
            await callers.finish()
    except TimeoutError:
        return False
    return True

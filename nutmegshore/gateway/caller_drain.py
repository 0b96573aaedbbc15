"""End of the callers' requests at a gateway that stops."""

import asyncio

from nutmegshore.clock import Clock
from nutmegshore.gateway.forward import GatewayForwarder
from nutmegshore.listener import CallerServer

__all__ = ('drain_callers',)

#: Seconds after the end of a drain in which unanswered requests get an error.
_LAST_ANSWERS_S = 0.2


async def drain_callers(
    callers: CallerServer,
    forwarder: GatewayForwarder,
    clock: Clock,
    ends_at: float,
) -> int:
    """Finish all requests; returns how many had to be cut.

    Those that have no answer when the clock shows `ends_at` get an error, and
    0.2 s later those that could not take one are cut.
    """
    if await _can_finish(callers, ends_at - clock.now()):
        return 0
    forwarder.end_requests()
    if await _can_finish(callers, _LAST_ANSWERS_S):
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

"""Graceful stop of a listener for callers."""

import attrs

from nutmegshore.callers.forward import CallerForwarder
from nutmegshore.callers.lookup import LookupLedger
from nutmegshore.clock import Clock
from nutmegshore.listener.server import CallerServer

__all__ = ('ListenerStop',)


@attrs.frozen
class ListenerStop:
    """Stops a listener without interrupting a request.

    All entries must have removed this entry from their look-up answers before
    `run`. The ledger does not hold the answers that other entries sent; the
    wait of `lifetime_s` from the call covers them.
    """

    name: str
    server: CallerServer
    forwarder: CallerForwarder
    ledger: LookupLedger
    clock: Clock
    lifetime_s: float

    async def run(self) -> None:
        """Wait until look-up answers expire, then for the last request."""
        self.server.leave()
        await self.clock.sleep(self.lifetime_s)
        await self.ledger.wait(self.name)
        await self.server.finish()
        await self.forwarder.drain()

"""Graceful stop of a listener for callers."""

import attrs

from nutmegshore.callers.forward import CallerForwarder
from nutmegshore.callers.lookup import LookupLedger
from nutmegshore.clock import Clock
from nutmegshore.listener.server import CallerServer

__all__ = ('ListenerStop',)


@attrs.frozen
class ListenerStop:
    """Ends a listener without cutting a request.

    The entry must have left the look-up answers of all entries before `run`:
    answers handed out elsewhere are not in the ledger, and `lifetime_s` from
    the call covers them.
    """

    name: str
    server: CallerServer
    forwarder: CallerForwarder
    ledger: LookupLedger
    clock: Clock
    lifetime_s: float

    async def run(self) -> None:
        """Wait for the look-up lifetime, then for the last request."""
        self.server.leave()
        await self.clock.sleep(self.lifetime_s)
        await self.ledger.wait(self.name)
        await self.server.finish()
        await self.forwarder.drain()

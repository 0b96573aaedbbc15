"""HTTP calls to the platform's metadata store."""

from collections.abc import Callable

import attrs

from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformUnavailable
from nutmegshore.platform.era import read_era
from nutmegshore.store.calls import (
    CallFailed,
    CallTimes,
    StoreCall,
    StoreCalls,
    StoreReply,
)
from nutmegshore.store.eras import StoreEras
from nutmegshore.store.failures import unanswered
from nutmegshore.upstreams import MalformedAnswer

__all__ = ('StoreAnswer', 'StoreHttp')

_PLACES = 16
_JSON = (('Content-Type', 'application/json'),)


@attrs.frozen
class StoreAnswer:
    """An answer of the store, and the era that it belongs to."""

    status: int
    body: bytes
    era: int


class StoreHttp:
    """Connections to the store at IP:port.

    `eras` has the eras that answers named. An answer without a readable era
    counts for the newest one. `on_malformed` is called with the target of a
    call and why its answer was refused.

    answer = await StoreHttp('10.0.0.1:8642').read('/config')
    """

    def __init__(
        self,
        address: str,
        times: CallTimes | None = None,
        counters: Counters | None = None,
        on_malformed: Callable[[str, MalformedAnswer], None] | None = None,
    ) -> None:
        """Create the client; connections open on first use."""
        self.eras = StoreEras()
        self._calls = StoreCalls(f'http://{address}', times, _PLACES, counters)
        self._calls.on_malformed = on_malformed

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()

    async def read(self, path: str, wait_s: float = 0) -> StoreAnswer:
        """Read a path that the store may answer `wait_s` later.

        Raises `PlatformUnavailable` without an answer.
        """
        call = StoreCall('GET', _target(path), wait_s=wait_s)
        try:
            return self._parse(await self._calls.send(call))
        except CallFailed as failure:
            raise PlatformUnavailable(str(failure)) from failure

    async def write(
        self, path: str, method: str, body: str | None = None
    ) -> StoreAnswer:
        """Send a change.

        Without an answer it raises `PlatformAnswerLost`, or
        `PlatformUnavailable` if nothing was sent.
        """
        call = StoreCall(method, _target(path))
        if body is not None:
            call = attrs.evolve(call, headers=_JSON, body=body.encode())
        try:
            return self._parse(await self._calls.send(call))
        except CallFailed as failure:
            raise unanswered(failure) from failure

    def _parse(self, reply: StoreReply) -> StoreAnswer:
        era = read_era(reply.head.fields, self.eras)
        return StoreAnswer(reply.head.status, reply.body, era)


def _target(path: str) -> str:
    return f'/objects{path}'

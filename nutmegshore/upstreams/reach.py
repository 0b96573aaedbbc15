"""Check whether an upstream still accepts connections."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ('IsListening', 'is_listening')

#: Called with an address as IP:port and a timeout in seconds.
IsListening = Callable[[str, float], Awaitable[bool]]


async def is_listening(address: str, within_s: float) -> bool:
    """Whether a connection to the address opens within the timeout.

    A lost answer alone does not distinguish a crash from a broken connection.
    After a crash nothing accepts connections until the process restarts.

        if not await is_listening('10.0.0.7:8080', within_s=0.25):
            ...
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(within_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # TimeoutError is a subclass of OSError.
        return False
    writer.close()
    return True

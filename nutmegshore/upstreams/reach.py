"""Whether an upstream's process still listens."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ('IsListening', 'is_listening')

#: Takes an address as IP:port and the seconds that an answer may take.
IsListening = Callable[[str, float], Awaitable[bool]]


async def is_listening(address: str, within_s: float) -> bool:
    """Open a connection and close it again; False if that fails or is late.

    A lost answer alone does not tell a crash from a broken connection. After
    a crash nothing accepts connections until the process is back.

        if not await is_listening('10.0.0.7:8080', within_s=0.25):
            ...
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(within_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # TimeoutError is one of these.
        return False
    writer.close()
    return True

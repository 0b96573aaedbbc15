"""Splits long work into slices so that other tasks run in between."""

import itertools
from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

from nutmegshore.clock import Clock

__all__ = ('ITEMS_PER_SLICE', 'iter_slices')

_Item = TypeVar('_Item')

#: Building a block takes 2 to 6 microseconds on a shared machine, so a slice
#: blocks the event loop for 1 to 3 ms of the permitted 10 ms.
ITEMS_PER_SLICE = 512


async def iter_slices(
    items: Iterable[_Item],
    clock: Clock,
    limit: int = ITEMS_PER_SLICE,
) -> AsyncIterator[list[_Item]]:
    """Iterate over items in lists of at most `limit`, one per slice.

    Other tasks of the event loop run before each list. A slice ends by item
    count instead of elapsed time, so every run does the same and no clock is
    read per item.

        async for batch in iter_slices(rows, clock):
            build(batch)
    """
    remaining = iter(items)
    await clock.sleep(0)
    while batch := list(itertools.islice(remaining, limit)):
        yield batch
        await clock.sleep(0)

"""Seed addresses of other entries from the platform's instance list."""

from nutmegshore.store import Platform

__all__ = ('read_seeds',)


async def read_seeds(platform: Platform, local_name: str) -> dict[str, str]:
    """Read the peer addresses of the other listed instances, by name.

    The list lags: it may contain stopped instances and miss running ones, so
    it only gives the addresses to try first.
    """
    listed = await platform.read_instances()
    return {
        found.name: found.address
        for found in listed
        if found.name != local_name and not found.is_leaving
    }

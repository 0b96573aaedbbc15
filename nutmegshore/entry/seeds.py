"""Addresses of other entries from the platform's list."""

from nutmegshore.store import Platform

__all__ = ('read_seeds',)


async def read_seeds(platform: Platform, local_name: str) -> dict[str, str]:
    """Addresses of the peer listeners of the others in the list, by name.

    The list lags: it may name the dead and miss the living, so it only says
    whom to try first.
    """
    listed = await platform.read_instances()
    return {
        found.name: found.address
        for found in listed
        if found.name != local_name and not found.is_leaving
    }

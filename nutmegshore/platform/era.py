"""The header that names the era of the store's history."""

from collections.abc import Mapping

from nutmegshore.store.eras import StoreEras

__all__ = ('read_era',)

_ERA = 'store-era'
_MAX_ERA_DIGITS = 15


def read_era(headers: Mapping[str, str], eras: StoreEras) -> int:
    """Return the era of an answer, and record it in `eras`.

    `headers` are those of the answer by lower-case name.

    An answer without a readable era counts for the newest known one.
    """
    text = headers.get(_ERA)
    if text is None:
        return eras.newest
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_ERA_DIGITS:
        eras.reject(text)
        return eras.newest
    era = int(text)
    eras.observe(era)
    return era

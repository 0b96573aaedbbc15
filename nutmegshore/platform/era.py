"""The header that names the era of the store's history."""

from tornado.httputil import HTTPHeaders

from nutmegshore.store.eras import StoreEras

__all__ = ('read_era',)

_ERA = 'Store-Era'
_MAX_ERA_DIGITS = 15


def read_era(headers: HTTPHeaders, eras: StoreEras) -> int:
    """Return the era of an answer, and record it in `eras`.

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

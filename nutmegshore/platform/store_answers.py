"""Parsing of the store's answers.

What cannot be read in a listing or among changes is left out, with the reason.
"""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import attrs

from nutmegshore.errors import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformError,
    PlatformFormatError,
    PlatformUnavailable,
)
from nutmegshore.platform.json_reader import read_parts
from nutmegshore.platform.store_http import StoreAnswer
from nutmegshore.platform.stored_object import (
    OBJECT_LEVELS,
    UNKNOWN_REVISION,
    parse_object,
)
from nutmegshore.store.base import Change, StoredObject

__all__ = (
    'Page',
    'WatchAnswer',
    'kind_of',
    'parse_conflicting',
    'parse_page',
    'parse_stored',
    'parse_watch',
    'parse_written',
    'status_error',
)

#: Levels of an answer whose parts are read apart if the whole is unreadable.
_LISTING_LEVELS = 2 + OBJECT_LEVELS
_WATCH_LEVELS = 3 + OBJECT_LEVELS
#: Statuses that guarantee that the write was not applied.
_NOT_APPLIED = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
    ),
)
_MALFORMED_ERRORS = (ValueError, TypeError, LookupError, OverflowError)


@attrs.frozen
class Page:
    """One page of a listing, and the store's position when it was read.

    `unnamed` has the reasons for the objects that cannot be read.
    """

    position: int
    listed: tuple[StoredObject, ...]
    has_more: bool
    unnamed: tuple[str, ...]
    era: int


@attrs.frozen
class WatchAnswer:
    """Changes up to a position, and the reasons for those left out."""

    position: int
    changes: tuple[Change, ...]
    unnamed: tuple[str, ...]


@attrs.frozen
class _Parsed:
    """The objects or changes of an answer, and the reasons for the rest."""

    parsed: tuple[Any, ...]
    unnamed: tuple[str, ...]


def parse_stored(key: str, answer: StoreAnswer) -> StoredObject:
    """Parse the answer to the read of one object."""
    raw = _parse_read(answer, key, OBJECT_LEVELS)
    return parse_object(kind_of(key), raw, answer.era)


def parse_page(kind: str, answer: StoreAnswer) -> Page:
    """Parse a page of a listing; raise `PlatformUnavailable` if malformed."""
    raw = _parse_read(answer, kind, _LISTING_LEVELS)
    try:
        found = _parse_items(kind, raw['items'], answer.era)
        return Page(
            int(raw['StoreRevision']),
            found.parsed,
            bool(raw.get('HasMore')),
            found.unnamed,
            answer.era,
        )
    except _MALFORMED_ERRORS as failure:
        raise PlatformUnavailable(f'{kind}: malformed answer') from failure


def parse_watch(kind: str, answer: StoreAnswer) -> WatchAnswer:
    """Parse the answer to a watch.

    Raises `HistoryLost` if the store no longer has the changes, and
    `PlatformUnavailable` if the answer is malformed.
    """
    raw = _parse_read(answer, kind, _WATCH_LEVELS)
    try:
        found = _parse_events(kind, raw['events'], answer.era)
        return WatchAnswer(
            int(raw['StoreRevision']), found.parsed, found.unnamed
        )
    except _MALFORMED_ERRORS as failure:
        raise PlatformUnavailable(f'{kind}: malformed answer') from failure


def parse_written(key: str, answer: StoreAnswer) -> StoredObject:
    """Parse the answer to a write; if malformed, the outcome is unknown."""
    try:
        raw = read_parts(answer.body, OBJECT_LEVELS)
    except PlatformFormatError as failure:
        raise PlatformAnswerLost(f'{key}: malformed JSON') from failure
    return parse_object(kind_of(key), raw, answer.era)


def parse_conflicting(key: str, answer: StoreAnswer) -> StoredObject | None:
    """Parse the object that a write conflicts with, None if unreadable."""
    try:
        raw = read_parts(answer.body, OBJECT_LEVELS)
        return parse_object(kind_of(key), raw, answer.era)
    except PlatformFormatError:
        # The write conflicts even if the present object is unreadable.
        return None


def status_error(key: str, status: int) -> PlatformError:
    """Return the error for a write that was answered with a failure."""
    message = f'{key}: status {status}'
    if status in _NOT_APPLIED:
        return PlatformUnavailable(message)
    return PlatformAnswerLost(message)


def kind_of(key: str) -> str:
    """Return the kind in `KIND/NAME`."""
    return key.partition('/')[0]


def _parse_read(answer: StoreAnswer, subject: str, levels: int) -> Any:
    if answer.status == HTTPStatus.GONE:
        raise HistoryLost(subject)
    if answer.status != HTTPStatus.OK:
        raise PlatformUnavailable(f'{subject}: status {answer.status}')
    try:
        return read_parts(answer.body, levels)
    except PlatformFormatError as failure:
        raise PlatformUnavailable(f'{subject}: malformed JSON') from failure


def _parse_items(kind: str, items: list[Any], era: int) -> _Parsed:
    parsed: list[StoredObject] = []
    unnamed: list[str] = []
    for entry in items:
        try:
            parsed.append(parse_object(kind, entry, era))
        except PlatformFormatError as failure:
            unnamed.append(str(failure))
    return _Parsed(tuple(parsed), tuple(unnamed))


def _parse_events(kind: str, events: list[Any], era: int) -> _Parsed:
    parsed: list[Change] = []
    unnamed: list[str] = []
    for event in events:
        try:
            parsed.extend(_iter_changes(kind, event, era))
        except PlatformFormatError as failure:
            unnamed.append(str(failure))
    return _Parsed(tuple(parsed), tuple(unnamed))


def _iter_changes(kind: str, event: Any, era: int) -> Iterator[Change]:
    """Yield the change that an event describes."""
    if not isinstance(event, dict):
        raise PlatformFormatError('an event that is no JSON object')
    stored = parse_object(kind, event.get('Object'), era)
    is_removed = bool(event.get('Deleted'))
    # An object of unknown revision follows a removal, since it would appear
    # to be older than the one that is known.
    if is_removed or stored.version == UNKNOWN_REVISION:
        yield Change(stored.key, None)
    if not is_removed:
        yield Change(stored.key, stored)

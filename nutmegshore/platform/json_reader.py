"""Reads JSON of other writers, parts of which may be unreadable.

No value nests deeper than `MAX_LEVELS`, however deep the parser's own stack
is, so that all gateways read or reject the same bytes. A number is read with
as many digits as Python converts; the readers of fields bound its size.
"""

import json
import re
from typing import Any, NoReturn

import attrs

from nutmegshore.errors import PlatformFormatError

__all__ = (
    'MAX_LEVELS',
    'Unreadable',
    'find_unreadable',
    'mark_unreadable',
    'read_json',
    'read_parts',
    'write_json',
)

#: Levels of arrays and objects in one value.
MAX_LEVELS = 32
_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
#: Strings, so that brackets in them do not count, and runs of brackets.
_TOKEN = re.compile(rf'{_STRING}|[\[{{]+|[\]}}]+', re.DOTALL)
_SCALAR = re.compile(rf'{_STRING}|[^,:"\[\]{{}}]+', re.DOTALL)
_BLANKS = re.compile(r'[ \t\r\n]*')
_OPENING = '[{'
_CLOSING = ']}'
_NESTED = 'nested too deeply'
#: Start of the body that stands for one that cannot be read.
_MARK = 'unreadable: '


@attrs.frozen
class Unreadable:
    """Stands in the place of a value that cannot be read."""

    reason: str


def read_json(body: bytes) -> Any:
    """Parse one value; raises `PlatformFormatError` unless all is readable.

    Nesting beyond `MAX_LEVELS`, a key that occurs twice in an object, NaN and
    infinite numbers are unreadable.
    """
    text = _decode(body)
    if text.startswith(_MARK):
        raise PlatformFormatError(text.removeprefix(_MARK))
    if _is_too_deep(text):
        raise PlatformFormatError(_NESTED)
    try:
        return _DECODER.decode(text)
    except (ValueError, RecursionError) as failure:
        raise PlatformFormatError(_describe(failure)) from failure


def read_parts(body: bytes, levels: int) -> Any:
    """Parse a value of many writers, some of whose parts are unreadable.

    Each part that cannot be read, at most `levels` below the whole, becomes
    `Unreadable`; the parts beside it are read. Raises `PlatformFormatError`
    if the end of an unreadable part cannot be found.

        read_parts(b'{"items":[{"Slots":NaN},{"Slots":3}]}', 3)
    """
    reader = _PartReader(_decode(body))
    try:
        found = reader.read_value(levels)
        reader.expect_end()
    except ValueError as failure:
        raise PlatformFormatError(_describe(failure)) from failure
    return found


def write_json(parts: Any) -> bytes:
    """Encode what `read_parts` returned.

    Raises `PlatformFormatError` if a part is `Unreadable` or nests too deeply.
    """
    try:
        text = _ENCODER.encode(parts)
    except RecursionError as failure:
        raise PlatformFormatError(_NESTED) from failure
    if _is_too_deep(text):
        raise PlatformFormatError(_NESTED)
    return text.encode()


def mark_unreadable(reason: str) -> bytes:
    """Return a body that `read_json` rejects for this reason."""
    return f'{_MARK}{reason}'.encode(errors='replace')


def find_unreadable(part: Any, levels: int) -> str:
    """Return why a part, at most `levels` below, is unreadable; '' if none."""
    if isinstance(part, Unreadable):
        return part.reason
    if levels == 0 or not isinstance(part, dict | list):
        return ''
    members = part.values() if isinstance(part, dict) else part
    reasons = (find_unreadable(member, levels - 1) for member in members)
    return next(filter(None, reasons), '')


class _PartReader:
    """Reads a text from its start; falls back to parts where it must."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def read_value(self, levels: int) -> Any:
        """Read the next value; the parser in C reads what it can."""
        self._skip_blanks()
        try:
            return self._parse()
        except (ValueError, RecursionError) as failure:
            return self._read_members(levels, _describe(failure))

    def expect_end(self) -> None:
        """Raise `ValueError` unless the whole text was read."""
        self._skip_blanks()
        if self._position < len(self._text):
            raise ValueError('text after the end')

    def _parse(self) -> Any:
        """Read a value by the parser, or raise and stay where it begins."""
        decoded = _DECODER.raw_decode(self._text, self._position)
        self._position = decoded[1]
        return decoded[0]

    def _read_members(self, levels: int, reason: str) -> Any:
        """Read the members of a value that cannot be read as a whole."""
        start = self._position
        if levels > 0:
            try:
                return self._read_container(levels - 1)
            except ValueError as failure:
                reason = _describe(failure)
        self._position = start
        self._skip_value()
        return Unreadable(reason)

    def _read_container(self, levels: int) -> Any:
        if self._take('{'):
            return self._read_table(levels)
        if self._take('['):
            return self._read_array(levels)
        raise ValueError('not JSON')

    def _read_table(self, levels: int) -> dict[str, Any]:
        table: dict[str, Any] = {}
        while not self._take('}'):
            if table:
                self._expect(',')
            name = self._read_name()
            self._expect(':')
            member = self.read_value(levels)
            is_repeated = name in table
            table[name] = Unreadable(_repeated(name)) if is_repeated else member
        return table

    def _read_array(self, levels: int) -> list[Any]:
        found: list[Any] = []
        while not self._take(']'):
            if found:
                self._expect(',')
            found.append(self.read_value(levels))
        return found

    def _read_name(self) -> str:
        self._skip_blanks()
        name = self._parse()
        if not isinstance(name, str):
            raise ValueError('a key that is no text')
        return name

    def _skip_value(self) -> None:
        """Move to the end of a value without reading it."""
        if self._text.startswith(('[', '{'), self._position):
            self._skip_container()
            return
        scalar = _SCALAR.match(self._text, self._position)
        if scalar is None:
            raise ValueError('no value')
        self._position = scalar.end()

    def _skip_container(self) -> None:
        depth = 0
        for token in _TOKEN.finditer(self._text, self._position):
            change = _depth_change(token.group())
            if depth + change <= 0 and change < 0:
                self._position = token.start() + depth
                return
            depth += change
        raise ValueError('a value without an end')

    def _expect(self, mark: str) -> None:
        if not self._take(mark):
            raise ValueError(f'{mark} expected')

    def _take(self, mark: str) -> bool:
        """Move past a mark; False if the text goes on with another one."""
        self._skip_blanks()
        is_next = self._text.startswith(mark, self._position)
        self._position += len(mark) if is_next else 0
        return is_next

    def _skip_blanks(self) -> None:
        self._position = _BLANKS.match(self._text, self._position).end()


def _decode(body: bytes) -> str:
    """Decode UTF-8; other bytes become lone surrogates, which no name has."""
    return body.decode('utf-8', 'surrogateescape')


def _is_too_deep(text: str) -> bool:
    if sum(text.count(mark) for mark in _OPENING) <= MAX_LEVELS:
        return False
    depth = 0
    for token in _TOKEN.finditer(text):
        depth += _depth_change(token.group())
        if depth > MAX_LEVELS:
            return True
    return False


def _depth_change(token: str) -> int:
    """Return by how many levels a run of brackets changes the depth."""
    if token[0] in _OPENING:
        return len(token)
    return -len(token) if token[0] in _CLOSING else 0


def _describe(failure: Exception) -> str:
    """Return a reason without excerpts, which may be long."""
    if isinstance(failure, RecursionError):
        return _NESTED
    if isinstance(failure, json.JSONDecodeError):
        return f'not JSON: {failure.msg}'
    return str(failure)


def _repeated(name: str) -> str:
    shown = name[:_MAX_NAME_CHARS]
    return f'the key {shown!r} occurs twice'


def _make_table(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) < len(pairs):
        raise ValueError('a key occurs twice')
    return table


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f'the number {text}')


def _reject_unreadable(part: Unreadable) -> NoReturn:
    raise PlatformFormatError(part.reason)


_MAX_NAME_CHARS = 40
_DECODER = json.JSONDecoder(
    object_pairs_hook=_make_table, parse_constant=_reject_constant
)
_ENCODER = json.JSONEncoder(default=_reject_unreadable)

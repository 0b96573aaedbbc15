"""msgpack encoding of the messages between entries."""

import functools
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, TypeVar, get_origin

import attrs
import msgpack

from nutmegshore.errors import ErrorKind, LinkError

__all__ = (
    'MAX_CONTAINER_ITEMS',
    'MAX_FRAME_BYTES',
    'decode',
    'encode',
    'message',
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
#: msgpack allocates an array for its announced length before it reads the
#: items, so nested headers of 4 million items each would exhaust the memory.
MAX_CONTAINER_ITEMS = 16_384

_TYPE_FIELD = 0
_FIRST_FIELD = 1

_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}
#: Types that a received field may have.
_Accepted = tuple[type, ...]
_Message = TypeVar('_Message', bound=type)


def message(number: int) -> Callable[[_Message], _Message]:
    """Register an attrs class as the message type with this number.

    Fields are numbered from 1 in the order of their declaration. A field may
    only ever be added at the end and with a default, so that old and new
    versions understand each other during a rolling upgrade.

        @message(40)
        @attrs.frozen
        class LoanRequest:
            cap: str
            units: int
    """

    return functools.partial(_register, number)


def _register(number: int, message_type: _Message) -> _Message:
    if number in _types_by_number:
        raise ValueError(f'message number {number} is taken')
    _types_by_number[number] = message_type
    _numbers_by_type[message_type] = number
    return message_type


def encode(body: Any) -> bytes:
    """Encode a registered message as one msgpack map."""
    fields = {_TYPE_FIELD: _numbers_by_type[type(body)]}
    names = _field_names(type(body))
    for index, name in enumerate(names, _FIRST_FIELD):
        fields[index] = getattr(body, name)
    return msgpack.packb(fields)


def decode(frame: bytes) -> Any:
    """Decode one frame; None for an unknown message type.

    Raises `LinkError` for a frame that is too large, that is not a msgpack
    map, or whose fields do not match the message. Field numbers that this
    version does not know are ignored.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise LinkError(ErrorKind.FRAME_TOO_LARGE)
    return from_fields(_unpack(frame))


def from_fields(fields: Any) -> Any:
    """Build a message from its unpacked map; None for an unknown type."""
    if not isinstance(fields, dict):
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'not a map')
    number = fields.get(_TYPE_FIELD)
    if not isinstance(number, int):
        raise LinkError(ErrorKind.MALFORMED_FRAME, 'no message number')
    message_type = _types_by_number.get(number)
    if message_type is None:
        return None
    names = _field_names(message_type)
    present = {
        name: fields[index]
        for index, name in enumerate(names, _FIRST_FIELD)
        if index in fields
    }
    try:
        return message_type(**_check_types(message_type, present))
    except (TypeError, ValueError) as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME, str(failure)) from failure


@functools.cache
def _field_names(message_type: type) -> tuple[str, ...]:
    return tuple(attrs.fields_dict(message_type))


def _check_types(message_type: type, present: dict[str, Any]) -> dict[str, Any]:
    for name, expected in _checkable_types(message_type):
        if name in present and not isinstance(present[name], expected):
            raise ValueError(f'{name}: {expected} expected')
    return present


@functools.cache
def _checkable_types(message_type: type) -> list[tuple[str, _Accepted]]:
    """Fields whose declared type can be checked before a handler runs."""
    origins = {
        name: get_origin(field.type) or field.type
        for name, field in attrs.fields_dict(message_type).items()
    }
    return [
        (name, _ACCEPTED_TYPES[origin])
        for name, origin in origins.items()
        if origin in _ACCEPTED_TYPES
    ]


#: A sender may encode a whole number in a float field as an int.
_ACCEPTED_TYPES = MappingProxyType(
    {
        bool: (bool,),
        bytes: (bytes,),
        dict: (dict,),
        float: (float, int),
        int: (int,),
        list: (list,),
        str: (str,),
    }
)


def _unpack(frame: bytes) -> Any:
    try:
        return msgpack.unpackb(
            frame,
            strict_map_key=False,
            max_array_len=MAX_CONTAINER_ITEMS,
            max_map_len=MAX_CONTAINER_ITEMS,
        )
    except (TypeError, ValueError, msgpack.UnpackException) as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME, str(failure)) from failure

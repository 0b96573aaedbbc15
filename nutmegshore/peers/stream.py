"""Reading of msgpack messages of limited size from a byte stream."""

import collections
from typing import Any

import msgpack

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers import codec

__all__ = ('READ_BYTES', 'MessageReader')

#: Bytes that are read from a stream at once.
READ_BYTES = 65_536


class MessageReader:
    """Turns received bytes into messages.

    reader.feed(stream_bytes)
    body = reader.pop()  # None for an unknown message type
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._unpacker = msgpack.Unpacker(
            strict_map_key=False,
            max_buffer_size=codec.MAX_FRAME_BYTES + READ_BYTES,
            max_array_len=codec.MAX_CONTAINER_ITEMS,
            max_map_len=codec.MAX_CONTAINER_ITEMS,
        )
        self._received = 0
        self._ready: collections.deque[tuple[int, Any]] = collections.deque()

    @property
    def has_message(self) -> bool:
        """Whether `pop` has a complete message to return."""
        return bool(self._ready)

    def feed(self, received: bytes, limit: int = codec.MAX_FRAME_BYTES) -> None:
        """Append received bytes; `LinkError` if a frame exceeds the limit."""
        self._received += len(received)
        try:
            self._unpack_all(received)
        except msgpack.BufferFull as failure:
            raise LinkError(ErrorKind.FRAME_TOO_LARGE) from failure
        except (TypeError, ValueError, msgpack.UnpackException) as failure:
            raise LinkError(ErrorKind.MALFORMED_FRAME) from failure
        if self._received - self._unpacker.tell() > limit:
            raise LinkError(ErrorKind.FRAME_TOO_LARGE)

    def pop(self, limit: int = codec.MAX_FRAME_BYTES) -> Any:
        """Next message; `LinkError` if it exceeds the limit in bytes."""
        size, fields = self._ready.popleft()
        if size > limit:
            raise LinkError(ErrorKind.FRAME_TOO_LARGE)
        return codec.from_fields(fields)

    def _unpack_all(self, received: bytes) -> None:
        self._unpacker.feed(received)
        start = self._unpacker.tell()
        for fields in self._unpacker:
            end = self._unpacker.tell()
            self._ready.append((end - start, fields))
            start = end

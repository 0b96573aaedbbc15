"""One HTTP/1.1 request of a caller on a connection of its own."""

import asyncio

import attrs

from nutmegshore.upstreams import MalformedAnswer
from nutmegshore.upstreams.answer_heads import AnswerHeads
from nutmegshore.upstreams.chunked_body import ChunkedBody

__all__ = ('HttpResult', 'NotAccepted', 'send_request')

_CHUNK_BYTES = 65_536
_LINE_END = b'\n'
#: Largest answer that a caller of the demonstration takes.
_MAX_ANSWER_BYTES = 4_000_000


class NotAccepted(Exception):
    """No connection opened, so nothing was sent."""


@attrs.frozen
class HttpResult:
    """What came back: status 0 where no sound answer came.

    `is_whole` says that the body has the announced length. `failure` names
    what ended the exchange early.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    is_whole: bool = False
    failure: str = ''


async def send_request(
    address: str,
    head: str,
    body: bytes,
    limit_s: float,
) -> HttpResult:
    """Send a request and read to the end of the connection.

    Raises `NotAccepted` where the connection was refused.
    """
    host, _, port = address.rpartition(':')
    opening = asyncio.open_connection(host, int(port))
    try:
        reader, writer = await asyncio.wait_for(opening, limit_s)
    except OSError as failure:
        raise NotAccepted(address) from failure
    came = bytearray()
    failure_name = ''
    try:
        await asyncio.wait_for(
            _talk(reader, writer, (head.encode() + body, came)),
            limit_s,
        )
    except TimeoutError:
        failure_name = 'timeout'
    except OSError:
        failure_name = 'reset'
    writer.transport.abort()
    return _parse(bytes(came), failure_name)


async def _talk(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    outgoing: tuple[bytes, bytearray],
) -> None:
    sent, came = outgoing
    writer.write(sent)
    await writer.drain()
    while len(came) < _MAX_ANSWER_BYTES:
        chunk = await reader.read(_CHUNK_BYTES)
        if not chunk:
            return
        came.extend(chunk)


def _parse(came: bytes, failure: str) -> HttpResult:
    heads = AnswerHeads()
    try:
        body = _read_heads(heads, came)
        if heads.final is None:
            return HttpResult(failure=failure or 'closed')
        whole_body, is_whole = _read_body(heads, body)
    except MalformedAnswer as malformed:
        return HttpResult(failure=f'malformed {malformed.fault}')
    final = heads.final
    headers = dict(final.fields)
    return HttpResult(final.status, headers, whole_body, is_whole, failure)


def _read_heads(heads: AnswerHeads, came: bytes) -> bytes:
    """Read up to the end of the final head; returns what follows."""
    left = came
    while heads.final is None and _LINE_END in left:
        line, end, left = left.partition(_LINE_END)
        heads.add_line(line + end)
    return left


def _read_body(heads: AnswerHeads, body: bytes) -> tuple[bytes, bool]:
    """Return the body that came, and whether it came to its end."""
    if heads.is_chunked:
        chunked = ChunkedBody()
        return chunked.decode(body), chunked.is_ended
    length = int(heads.final.fields.get('content-length', -1))
    return body, len(body) == length

"""One HTTP/1.1 request of a caller on a connection of its own."""

import asyncio

import attrs

__all__ = ('HttpResult', 'NotAccepted', 'send_request')

_CHUNK_BYTES = 65_536
_HEX = 16
_END_OF_HEAD = b'\r\n\r\n'
#: Largest answer that a caller of the demonstration takes.
_MAX_ANSWER_BYTES = 4_000_000


class NotAccepted(Exception):
    """No connection opened, so nothing was sent."""


@attrs.frozen
class HttpResult:
    """What came back: status 0 where no whole head came.

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
    head, end, body = came.partition(_END_OF_HEAD)
    if not end:
        return HttpResult(failure=failure or 'closed')
    status, headers = _parse_head(head.decode('latin-1').split('\r\n'))
    if headers.get('transfer-encoding') == 'chunked':
        body, is_whole = _join_chunks(body)
    else:
        is_whole = len(body) == int(headers.get('content-length', -1))
    return HttpResult(status, headers, body, is_whole, failure)


def _parse_head(lines: list[str]) -> tuple[int, dict[str, str]]:
    pairs = [line.partition(':') for line in lines[1:]]
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    return int(lines[0].split()[1]), headers


def _join_chunks(framed: bytes) -> tuple[bytes, bool]:
    """Body of a chunked answer, and whether its last chunk came."""
    parts = []
    while framed:
        size_line, _, framed = framed.partition(b'\r\n')
        size = int(size_line.split(b';')[0] or b'0', _HEX)
        if not size:
            return b''.join(parts), True
        parts.append(framed[:size])
        framed = framed[size:].removeprefix(b'\r\n')
    return b''.join(parts), False

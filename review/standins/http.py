"""Small HTTP/1.1 helpers on asyncio streams, for stand-ins and clients."""

import asyncio


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, raw):
        start, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
        self.start = start.split(' ', 2)
        pairs = (line.partition(':') for line in lines)
        self.headers = {
            name.strip().lower(): text.strip() for name, _, text in pairs
        }

    @property
    def length(self):
        """Bytes of the body, or None without Content-Length."""
        text = self.headers.get('content-length')
        return None if text is None else int(text)


async def read_head(reader):
    """Read a head; None if the connection ended before it."""
    try:
        return Head(await reader.readuntil(b'\r\n\r\n'))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader, head):
    """Read a whole body with a length or in chunks."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(head.length or 0)


def write_head(start, headers):
    """Encode a start line and pairs of headers."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join((*lines, '', '')).encode('latin-1')

"""Stand-ins for callers and upstreams over loopback, in threads."""

import array
import contextlib
import itertools
import pathlib
import resource
import socket
import statistics
import threading
import time

import attrs

__all__ = (
    'LOOPBACK',
    'PIECE',
    'LookupCaller',
    'LoopbackUpstream',
    'connect',
    'upload',
)

LOOPBACK = '127.0.0.1'
_PIECE_BYTES = 65_536
PIECE = bytes(_PIECE_BYTES)
_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_HEAD_END = b'\r\n\r\n'
_KIB = 1_024
_LOOKUP_INTERVAL_S = 0.002
_SOCKET_TIMEOUT_S = 50
_PERCENT = 100
_PERCENTILE = 99


@attrs.define
class LoopbackUpstream:
    """A server that counts runs, body bytes and connections.

    It runs in a thread of its own and serves one connection after the other.

    With `closes_stale` it answers the first request of a connection, and
    closes after it has read the second, as a stopping server does.
    """

    closes_stale: bool = False
    runs: int = 0
    body_bytes: int = 0
    connections: int = 0
    listener: socket.socket = attrs.field(factory=socket.socket)

    def start(self) -> int:
        """Listen on a free port and return it."""
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen()
        threading.Thread(target=self._accept, daemon=True).start()
        return self.listener.getsockname()[1]

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for accepted, _ in iter(self.listener.accept, None):
                self.connections += 1
                self._serve(accepted)

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, contextlib.suppress(OSError):
            accepted.settimeout(_SOCKET_TIMEOUT_S)
            for number in itertools.count():
                if not self._read_request(accepted):
                    return
                self.runs += 1
                if self.closes_stale and number:
                    return
                accepted.sendall(_OK)

    def _read_request(self, accepted: socket.socket) -> bool:
        head = b''
        while _HEAD_END not in head:
            piece = accepted.recv(_KIB)
            if not piece:
                return False
            head += piece
        raw_head, _, body = head.partition(_HEAD_END)
        left = _content_length(raw_head) - len(body)
        self.body_bytes += len(body)
        while left:
            size = len(accepted.recv(min(left, len(PIECE))))
            if not size:
                return False
            left -= size
            self.body_bytes += size
        return True


def _doubles() -> array.array:
    # A list of floats would add its own growth to the memory measured.
    return array.array('d')


@attrs.define
class LookupCaller:
    """What a caller of look-ups saw: seconds each, and the peak of memory."""

    port: int
    seconds: array.array = attrs.field(factory=_doubles)
    peak_kib: int = 0
    is_over: threading.Event = attrs.field(factory=threading.Event)

    def run(self) -> None:
        """Look up at a fixed pace until `is_over`."""
        request = b'GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n'
        with connect(self.port) as sock:
            while not self.is_over.wait(_LOOKUP_INTERVAL_S):
                started = time.perf_counter()
                sock.sendall(request)
                sock.recv(len(PIECE))
                self.seconds.append(time.perf_counter() - started)
                self.peak_kib = max(self.peak_kib, _resident_kib())

    def percentile_s(self) -> float:
        """The 99th percentile of a look-up's time."""
        cuts = statistics.quantiles(self.seconds, n=_PERCENT)
        return cuts[_PERCENTILE - 1]


def upload(port: int, pieces: int) -> None:
    """Send a body of this many pieces, and check that it is answered."""
    length = pieces * len(PIECE)
    head = f'PUT /scans HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n'
    with connect(port) as sock:
        sock.sendall(head.encode())
        for _ in range(pieces):
            sock.sendall(PIECE)
        answer = sock.recv(_KIB)
    if not answer.startswith(b'HTTP/1.1 200 '):
        raise RuntimeError(answer)


def connect(port: int) -> socket.socket:
    """Open a connection to a port on loopback."""
    sock = socket.create_connection((LOOPBACK, port), _SOCKET_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name == b'content-length':
            return int(text)
    return 0


def _resident_kib() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize() // _KIB

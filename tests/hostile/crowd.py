"""Callers that send what they like, all at once from one thread."""

import contextlib
import selectors
import socket
import time

_LOOPBACK = '127.0.0.1'
_SEND_BYTES = 65_536


class Crowd:
    """Connections of callers to one process.

    crowd = Crowd(port, 100)
    crowd.send(payload)
    crowd.close()
    """

    def __init__(self, port, count, receive_bytes=None):
        """Connect; a connection that is refused is left out."""
        self.connections = []
        for _ in range(count):
            with contextlib.suppress(OSError):
                self.connections.append(_connect(port, receive_bytes))

    def send(self, payload, *, reads=True, quiet_s=1.5, most_s=15):
        """Send to each connection, in turns.

        Ends once all is sent, or nothing was taken for `quiet_s`, or after
        `most_s`. With `reads`, what arrives meanwhile is dropped.
        """
        sending = _Sending(self.connections, memoryview(payload), reads)
        until = time.monotonic() + most_s
        quiet_at = time.monotonic() + quiet_s
        while sending.left and time.monotonic() < min(until, quiet_at):
            if sending.step():
                quiet_at = time.monotonic() + quiet_s
        sending.selector.close()

    def read(self, most_bytes, seconds):
        """Read at most so much of each connection, for so long."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for connection in self.connections:
                _drop(connection, most_bytes)
            time.sleep(0.05)

    def close(self):
        """Close all connections."""
        for connection in self.connections:
            connection.close()


class _Sending:
    """What each connection has still to send of one payload."""

    def __init__(self, connections, view, reads):
        self.left = dict.fromkeys(connections, 0)
        self.selector = selectors.DefaultSelector()
        self._view = view
        self._reads = reads
        for connection in connections:
            self.selector.register(connection, selectors.EVENT_WRITE)

    def step(self):
        """Send a piece wherever there is room; whether there was any."""
        ready = self.selector.select(0.1)
        for key, _ in ready:
            self._send_piece(key.fileobj)
        return bool(ready)

    def _send_piece(self, connection):
        at = self.left[connection]
        end = at + _SEND_BYTES
        sent = _send(connection, self._view[at:end])
        if self._reads:
            _drop(connection)
        self.left[connection] = at + (sent or 0)
        if sent is None or self.left[connection] >= len(self._view):
            self.left.pop(connection)
            self.selector.unregister(connection)


def ask(port, raw, within_s):
    """Send one request and return the status of its answer.

    A caller that is refused, or whose connection is closed, comes back until
    the time is over; the result is 0 if it was never answered.
    """
    until = time.monotonic() + within_s
    status = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError, ValueError):
            status = _ask_once(port, raw, until)
        if status == 200:
            return status
        time.sleep(0.2)
    return status


def _ask_once(port, raw, until):
    left_s = max(until - time.monotonic(), 0.1)
    address = (_LOOPBACK, port)
    with socket.create_connection(address, timeout=left_s) as connection:
        # A refused body may be cut off; the answer is there all the same.
        with contextlib.suppress(OSError):
            connection.sendall(raw)
        received = b''
        while b'\r\n\r\n' not in received:
            piece = connection.recv(_SEND_BYTES)
            if not piece:
                break
            received += piece
        if not received:
            raise ConnectionResetError('closed without an answer')
        return int(received.split(b' ', 2)[1])


def _connect(port, receive_bytes):
    connection = socket.socket()
    if receive_bytes is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
    connection.settimeout(2)
    try:
        connection.connect((_LOOPBACK, port))
    except OSError:
        connection.close()
        raise
    connection.setblocking(False)
    return connection


def _send(connection, piece):
    """Bytes that the connection took, or None if it is closed."""
    try:
        return connection.send(piece)
    except BlockingIOError:
        return 0
    except OSError:
        return None


def _drop(connection, most_bytes=_SEND_BYTES):
    with contextlib.suppress(OSError):
        connection.recv(most_bytes)

"""The connections on which libcurl may send a request."""

import contextlib
import select
import socket
from collections.abc import Callable, Collection

import attrs
import pycurl

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters

__all__ = ('Address', 'OpenSocket', 'OpenSockets', 'SendGuard')

#: Remote IP, local IP, remote port and local port of a connection.
Address = tuple[str, str, int, int]

#: A close reaches this process within two round trips of the request that it
#: crossed; opening a connection takes one.
_CLOSE_ROUND_TRIPS = 2
#: Seconds that the other end and this process may take beside the round trips.
_CLOSE_SLACK_S = 0.01


@attrs.frozen
class OpenSocket:
    """The descriptor of a connection, and the seconds in which it opened."""

    fd: int
    connect_s: float

    @property
    def is_readable(self) -> bool:
        """Whether the other end has closed the connection or sent bytes.

        On an idle connection, no request is waiting for such bytes.
        """
        poll = select.poll()
        poll.register(self.fd, select.POLLIN)
        return bool(poll.poll(0))


class OpenSockets:
    """Finds the socket of a kept connection by its addresses.

    libcurl names a connection only by them. What is recorded holds until
    another connection has the same descriptor or the same addresses, so that
    it needs no word of a close.

        sockets.record(address, OpenSocket(fd, connect_s=0.02))
        sockets.find(address).is_readable
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._by_address: dict[Address, OpenSocket] = {}
        self._address_by_fd: dict[int, Address] = {}

    def record(self, address: Address, opened: OpenSocket) -> None:
        """Record a new connection, and forget those that it replaces."""
        before = self._by_address.pop(address, None)
        if before is not None:
            self._address_by_fd.pop(before.fd, None)
        replaced = self._address_by_fd.pop(opened.fd, None)
        if replaced is not None:
            self._by_address.pop(replaced, None)
        self._by_address[address] = opened
        self._address_by_fd[opened.fd] = address

    def find(self, address: Address) -> OpenSocket | None:
        """Return the socket of a kept connection."""
        return self._by_address.get(address)


class SendGuard:
    """Lets libcurl send one request once, on a connection that is open.

    If a kept connection ends before the answer, libcurl would send the request
    again, up to five times. Whether it may run again depends on the retry
    budget, the state of the upstream and the time that is left, so that the
    repeat is prevented: before a connection is opened for it, or before
    anything is sent on another kept one.

    `is_sent` becomes true before the first byte of the request is written, and
    stays true: only while it is false is it certain that the upstream received
    nothing. `found_closed` says that the request was not sent because the
    upstream had closed the kept connection before.

    The metric counts what the guard sees, by `event`: `opened`,
    `found_closed`, and `repeat_stopped`. `on_open` is called with the
    descriptor of each new connection before it opens.
    """

    def __init__(
        self,
        sockets: OpenSockets,
        clock: Clock,
        counters: Counters,
        metric: str = 'upstream_connections',
    ) -> None:
        """Guard one request."""
        self._metric = metric
        self.is_sent = False
        self.found_closed = False
        self.on_open: Callable[[int], None] = _do_nothing
        self._sockets = sockets
        self._clock = clock
        self._counters = counters
        self._opened_at_by_fd: dict[int, float] = {}
        self._kept: OpenSocket | None = None
        self._sent_at = float('inf')

    @property
    def is_kept(self) -> bool:
        """Whether the connection had served another request before."""
        return self._kept is not None

    @property
    def may_be_unread(self) -> bool:
        """Whether a close by now may have crossed the request on its way.

        The upstream closed a kept connection between two requests then, and
        has not read this one.
        """
        if self._kept is None:
            return False
        crossing_s = _CLOSE_ROUND_TRIPS * self._kept.connect_s + _CLOSE_SLACK_S
        return self._clock.now() - self._sent_at <= crossing_s

    def configure(self, fd: int, purpose: int) -> int:
        """Allow libcurl to open a connection (SOCKOPTFUNCTION)."""
        if self.is_sent:
            self._count('repeat_stopped')
            return pycurl.SOCKOPT_ERROR
        self.on_open(fd)
        self._opened_at_by_fd[fd] = self._clock.now()
        return pycurl.SOCKOPT_OK

    def allow(self, *address: str | int) -> int:
        """Allow libcurl to send on a connection (PREREQFUNCTION)."""
        if self.is_sent:
            self._count('repeat_stopped')
            return pycurl.PREREQFUNC_ABORT
        if self._opened_at_by_fd:
            self._record_opened(address)
        else:
            self._check_kept(address)
        if self.found_closed:
            return pycurl.PREREQFUNC_ABORT
        self.is_sent = True
        self._sent_at = self._clock.now()
        return pycurl.PREREQFUNC_OK

    def _check_kept(self, address: Address) -> None:
        self._kept = self._sockets.find(address)
        if self._kept is None or self._kept.is_readable:
            self.found_closed = True
            self._count('found_closed')

    def _record_opened(self, address: Address) -> None:
        fd = _find_bound(self._opened_at_by_fd, address)
        connect_s = self._clock.now() - self._opened_at_by_fd[fd]
        self._sockets.record(address, OpenSocket(fd, connect_s))
        self._count('opened')

    def _count(self, event: str) -> None:
        self._counters.add(self._metric, event=event)


def _find_bound(fds: Collection[int], address: Address) -> int:
    """Return the descriptor of a connection among those that were opened.

    Only a name with several addresses has libcurl open more than one.
    """
    *others, last = fds
    for fd in others:
        with contextlib.suppress(OSError):
            if _read_local_port(fd) == address[-1]:
                return fd
    return last


def _read_local_port(fd: int) -> int:
    with socket.socket(fileno=socket.dup(fd)) as connection:
        return connection.getsockname()[1]


def _do_nothing(fd: int) -> None:
    """Leave a new connection as it is."""

"""libcurl's multi interface on the asyncio event loop."""

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import Any

import pycurl

from nutmegshore.faults import Faults
from nutmegshore.upstreams.connections import OpenSockets

__all__ = ('IDLE_CONNECTIONS', 'CurlLoop', 'DoneReceiver')

#: Called with libcurl's error number at the end of a transfer; 0 is success.
DoneReceiver = Callable[[int], None]

_MS_PER_S = 1000
#: Name of this part in reports of faults.
_PART = 'curl'
#: Idle connections kept open, over all upstreams, unless a client sets it.
IDLE_CONNECTIONS = 512


class CurlLoop:
    """Drives curl handles by the readiness of their sockets.

    `add` starts a handle and calls `on_done` once at its end, unless `remove`
    cancels it before. Removing an unfinished handle closes its connection, so
    that no later request reads the rest of its answer. A fault in a callback is
    reported, since raised to libcurl it would end all transfers. `sockets` are
    those of the connections that it keeps.
    """

    def __init__(
        self, faults: Faults, idle_connections: int = IDLE_CONNECTIONS
    ) -> None:
        """Start without handles; must be called on the loop's thread."""
        self.sockets = OpenSockets()
        self._faults = faults
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._handle_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._handle_socket)
        self._multi.setopt(pycurl.M_MAXCONNECTS, idle_connections)
        self._is_closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._events_by_fd: dict[int, int] = {}
        self._done_by_curl: dict[pycurl.Curl, DoneReceiver] = {}

    def add(self, curl: pycurl.Curl, on_done: DoneReceiver) -> None:
        """Start a handle on the running loop."""
        self._done_by_curl[curl] = on_done
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """Remove a handle; does nothing if it has ended."""
        if self._done_by_curl.pop(curl, None) is not None:
            self._multi.remove_handle(curl)

    def resume(self, curl: pycurl.Curl) -> None:
        """Continue both directions of a paused handle."""
        if curl in self._done_by_curl:
            with contextlib.suppress(pycurl.error):
                # A pending failure is raised here and also reported as the
                # end of the transfer.
                curl.pause(pycurl.PAUSE_CONT)
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle_events, pycurl.SOCKET_TIMEOUT, 0)

    def guard(
        self, call: Callable[..., Any], on_fault: Any
    ) -> Callable[..., Any]:
        """Return a callback for libcurl that returns `on_fault` if it fails."""
        return functools.partial(self._run_guarded, call, on_fault)

    def close(self) -> None:
        """Drop all handles and close the connections."""
        for curl in tuple(self._done_by_curl):
            self.remove(curl)
        self._cancel_timer()
        self._is_closed = True
        self._multi.close()

    def _run_guarded(
        self, call: Callable[..., Any], on_fault: Any, *given: Any
    ) -> Any:
        with self._faults.contain(_PART):
            return call(*given)
        return on_fault

    def _handle_timer(self, delay_ms: int) -> None:
        with self._faults.contain(_PART):
            self._set_timer(delay_ms)

    def _set_timer(self, delay_ms: int) -> None:
        self._cancel_timer()
        if delay_ms >= 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ms / _MS_PER_S, self._expire)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        with self._faults.contain(_PART):
            self._handle_events(pycurl.SOCKET_TIMEOUT, 0)
        if self._timer is None:
            # libcurl does not call the timer function again for an unchanged
            # timeout.
            self._set_timer(self._multi.timeout())

    def _handle_socket(self, event: int, fd: int, *context: object) -> None:
        with self._faults.contain(_PART):
            self._watch_socket(event, fd)

    def _watch_socket(self, event: int, fd: int) -> None:
        loop = asyncio.get_running_loop()
        before = self._events_by_fd.pop(fd, 0)
        watched = 0 if event == pycurl.POLL_REMOVE else event
        if before & pycurl.POLL_IN:
            loop.remove_reader(fd)
        if before & pycurl.POLL_OUT:
            loop.remove_writer(fd)
        if watched & pycurl.POLL_IN:
            loop.add_reader(fd, self._handle_events, fd, pycurl.CSELECT_IN)
        if watched & pycurl.POLL_OUT:
            loop.add_writer(fd, self._handle_events, fd, pycurl.CSELECT_OUT)
        if watched:
            self._events_by_fd[fd] = watched

    def _handle_events(self, fd: int, events: int) -> None:
        if self._is_closed:
            return
        self._multi.socket_action(fd, events)
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._end_transfer(curl, 0)
            for curl, error, _ in failed:
                self._end_transfer(curl, error)

    def _end_transfer(self, curl: pycurl.Curl, error: int) -> None:
        on_done = self._done_by_curl.pop(curl, None)
        if on_done is not None:
            self._multi.remove_handle(curl)
            with self._faults.contain(_PART):
                on_done(error)

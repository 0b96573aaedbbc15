"""HTTP calls to the platform's metadata store."""

import socket
from typing import Any

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from nutmegshore.errors import PlatformUnavailable
from nutmegshore.platform.era import read_era
from nutmegshore.store.eras import StoreEras
from nutmegshore.store.failures import unanswered

__all__ = ('StoreAnswer', 'StoreHttp', 'StoreTimes')

_MAX_CLIENTS = 16
_MS_PER_S = 1000


@attrs.frozen
class StoreTimes:
    """Timeouts of calls to the store in seconds.

    The kernel closes a connection on which the store acknowledges nothing
    for `silent_s`.
    """

    connect_s: float = 1
    call_s: float = 2
    silent_s: float = 2


@attrs.frozen
class StoreAnswer:
    """An answer of the store, and the era that it belongs to."""

    status: int
    body: bytes
    era: int


class StoreHttp:
    """Connections to the store at IP:port.

    `eras` has the eras that answers named. An answer without a readable era
    counts for the newest one.

    answer = await StoreHttp('10.0.0.1:8642', StoreTimes()).read('/config')
    """

    def __init__(self, address: str, times: StoreTimes) -> None:
        """Create the client; connections open on first use."""
        self.eras = StoreEras()
        self._base_url = f'http://{address}/objects'
        self._times = times
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(self, path: str, wait_s: float = 0) -> StoreAnswer:
        """Read a path that the store may answer `wait_s` later.

        Raises `PlatformUnavailable` without an answer.
        """
        timeout_s = wait_s + self._times.call_s
        request = self._build_request(path, request_timeout=timeout_s)
        try:
            return await self._fetch(request)
        except HTTPClientError as failure:
            raise PlatformUnavailable(f'{path}: {failure}') from failure

    async def write(self, path: str, **options: Any) -> StoreAnswer:
        """Send a change, with the method and the body in `options`.

        Without an answer it raises `PlatformAnswerLost`, or
        `PlatformUnavailable` if nothing was sent.
        """
        if 'body' in options:
            options['headers'] = {'Content-Type': 'application/json'}
        request = self._build_request(path, **options)
        try:
            return await self._fetch(request)
        except HTTPClientError as failure:
            raise unanswered(path, failure) from failure

    async def _fetch(self, request: HTTPRequest) -> StoreAnswer:
        response = await self._client.fetch(request, raise_error=False)
        era = read_era(response.headers, self.eras)
        return StoreAnswer(response.code, response.body, era)

    def _build_request(self, path: str, **options: Any) -> HTTPRequest:
        options.setdefault('request_timeout', self._times.call_s)
        return HTTPRequest(
            f'{self._base_url}{path}',
            connect_timeout=self._times.connect_s,
            prepare_curl_callback=self._configure_curl,
            allow_nonstandard_methods=True,
            **options,
        )

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._set_socket_options)

    def _set_socket_options(self, fd: int, purpose: int) -> int:
        """Make the kernel close a connection that is silent too long."""
        silent_s = max(int(self._times.silent_s), 1)
        with socket.socket(fileno=socket.dup(fd)) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, seconds in (
                (socket.TCP_KEEPIDLE, 1),
                (socket.TCP_KEEPINTVL, 1),
                (socket.TCP_KEEPCNT, silent_s),
                (socket.TCP_USER_TIMEOUT, silent_s * _MS_PER_S),
            ):
                connection.setsockopt(socket.IPPROTO_TCP, option, seconds)
        return pycurl.SOCKOPT_OK

"""Handles of libcurl for single requests."""

import pycurl

from nutmegshore.upstreams.base import Headers

__all__ = ('MS_PER_S', 'add_body', 'make_handle', 'write_headers')

MS_PER_S = 1000
#: libcurl adds these by itself unless they are given or emptied.
_DEFAULT_HEADERS = ('Accept', 'User-Agent', 'Expect', 'Content-Type')
#: Methods that need `Content-Length: 0` if the request has no body.
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_UNKNOWN_LENGTH = -1


def make_handle(
    origin: str, method: str, target: str, connect_timeout_s: float
) -> pycurl.Curl:
    """Return a handle for an HTTP/1.1 request without a body.

    The origin is a URL without a path, such as http://10.0.0.1:8642.
    """
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f'{origin}/')
    # Sends the target byte for byte; libcurl would normalize dot segments.
    curl.setopt(pycurl.REQUEST_TARGET, target)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOSIGNAL, 1)
    connect_ms = int(connect_timeout_s * MS_PER_S)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
    if method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    return curl


def add_body(curl: pycurl.Curl, length: int | None) -> None:
    """Let a handle send a body; one of unknown length goes in chunks."""
    curl.setopt(pycurl.UPLOAD, 1)
    curl.setopt(
        pycurl.INFILESIZE_LARGE, _UNKNOWN_LENGTH if length is None else length
    )


def write_headers(
    curl: pycurl.Curl, method: str, headers: Headers, *, has_body: bool
) -> None:
    """Let a handle send these headers, and none that libcurl would add."""
    pairs = list(headers)
    if not has_body and method in _BODY_METHODS:
        pairs.append(('Content-Length', '0'))
    given = {name.lower() for name, _ in pairs}
    lines = [_header_line(name, text) for name, text in pairs]
    lines.extend(
        f'{name}:'.encode()
        for name in _DEFAULT_HEADERS
        if name.lower() not in given
    )
    curl.setopt(pycurl.HTTPHEADER, lines)


def _header_line(name: str, text: str) -> bytes:
    # libcurl sends a header with an empty value only if it ends in `;`.
    line = f'{name}: {text}' if text else f'{name};'
    return line.encode('latin-1')

"""Crowds at the ports that are not for callers."""

from types import MappingProxyType

import pytest

_DESCRIPTORS = 256
#: Legal at the port of operators, which takes bodies up to a megabyte.
_BODY_BYTES = 900_000
_CHUNK = b'%x\r\n%b\r\n' % (30_000, bytes(30_000))
#: What the head of a request says of its body, what follows it, and by how many
#: callers.
_BODIES = MappingProxyType(
    {
        'short-of-the-end': (
            f'Content-Length: {_BODY_BYTES}',
            bytes(_BODY_BYTES - 1),
            200,
        ),
        'chunks': (
            'Transfer-Encoding: chunked',
            _CHUNK * (_BODY_BYTES // 30_000),
            200,
        ),
        'small-chunks': (
            'Transfer-Encoding: chunked',
            b'1\r\n\x00\r\n' * 150_000,
            64,
        ),
        'announced': ('Content-Length: 1000000000', bytes(1_500_000), 100),
        'just-sent': ('Transfer-Encoding: chunked', _CHUNK * 100, 100),
    }
)
_PORTS = (
    ('gateway', 'ready', 'ready'),
    ('gateway', 'lookup', 'resolve?Name=a.example&Region=west&Zone=west-a'),
    ('gateway', 'metrics', 'metrics'),
    ('gateway', 'peers', ''),
    ('entry', 'operators', 'health'),
    ('entry', 'peers', ''),
)


@pytest.fixture(params=_PORTS, ids=lambda port: '-'.join(port[:2]))
def place(request):
    """Kind of a process, one of its ports and a page there, if it has any."""
    return request.param


@pytest.mark.parametrize('name', _BODIES)
def test_bodies_at_another_port(trial, place, name):
    """Guards against bodies that are kept before anybody looks at them, at a
    port that expects none or small ones."""
    kind, port, target = place
    framing, body, count = _BODIES[name]
    started = trial(kind)
    lines = (f'PUT /{target} HTTP/1.1', 'Host: a', framing, '', '')
    crowd = started.crowd(count, port)
    crowd.send('\r\n'.join(lines).encode() + body, most_s=8)
    _check(started, port, target)


def test_connections_at_another_port(trial, place):
    """Guards against connections that take all descriptors of the process, so
    that callers at its other ports are not accepted."""
    kind, port, target = place
    started = trial(kind, descriptors=_DESCRIPTORS)
    started.crowd(_DESCRIPTORS + 100, port)
    _check(started, port, target)


def _check(started, port, target):
    started.check()
    if target:
        assert started.ask_page(port, f'/{target}') == 200

"""Crowds of callers whose bodies a process must not keep in memory."""

import pytest

_BODY_BYTES = 1_500_000
_COUNT = 200


@pytest.mark.parametrize('path', ['/up/x', '/up/stall'])
def test_bodies_that_stop_short_of_their_end(started, path):
    """Guards against keeping the start of every body at once: the sum for 200
    callers exceeds the memory of the machine. The second upstream reads none,
    so that what is on its way to it stays as well."""
    head = started.request('POST', path, f'Content-Length: {_BODY_BYTES}')
    crowd = started.crowd(_COUNT)
    crowd.send(head + bytes(_BODY_BYTES - 1))
    started.check()


def test_bodies_that_arrive_piece_by_piece(started):
    """Guards against a bound on single reads only: many small pieces add up
    to as much as one large one."""
    head = started.request('POST', '/up/x', f'Content-Length: {_BODY_BYTES}')
    crowd = started.crowd(_COUNT)
    crowd.send(head)
    piece = bytes(_BODY_BYTES // 50)
    for _ in range(49):
        crowd.send(piece, most_s=2)
    started.check()


@pytest.mark.parametrize(
    ('chunk_bytes', 'chunks', 'count'), [(30_000, 48, _COUNT), (16, 32_768, 64)]
)
def test_chunked_bodies_without_an_end(started, chunk_bytes, chunks, count):
    """Guards against bodies without a known length that are kept while they
    arrive, and against work for each small chunk that stops the process from
    answering anybody else."""
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    crowd = started.crowd(count)
    crowd.send(head + chunk * chunks)
    started.check()


def test_bodies_far_over_the_limit(started):
    """Guards against reading or keeping what is refused: 100 callers announce
    a gigabyte, and 100 send all that the limit allows and then more."""
    length = 'Content-Length: 1000000000'
    announcing = started.crowd(_COUNT // 2)
    announcing.send(started.request('POST', '/up/x', length))
    sending = started.crowd(_COUNT // 2)
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (30_000, bytes(30_000))
    sending.send(head + chunk * 60)
    announcing.send(bytes(1_000_000))
    sending.send(chunk * 20)
    started.check()

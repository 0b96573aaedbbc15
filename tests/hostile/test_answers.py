"""Crowds of callers that do not read what they asked for."""

import pytest

#: The kernel then holds little of what was not read.
_RECEIVE_BYTES = 4096


def test_requests_ahead_whose_answers_nobody_reads(started):
    """Guards against holding an answer in memory for each of 400 callers that
    send further requests and read nothing."""
    request = started.request('GET', '/read/answer-250000')
    crowd = started.crowd(400, receive_bytes=_RECEIVE_BYTES)
    crowd.send(request * 100, reads=False)
    started.check()


@pytest.mark.parametrize('most_bytes', [0, 1024])
def test_answers_that_are_read_slowly(started, most_bytes):
    """Guards against what is held of long answers, for 300 callers that read
    none of it, or a little of it now and then."""
    request = started.request('GET', '/read/answer-8000000')
    crowd = started.crowd(300, receive_bytes=_RECEIVE_BYTES)
    crowd.send(request, reads=False)
    crowd.read(most_bytes, 4)
    started.check()

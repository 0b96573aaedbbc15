"""Tests of the headers between callers, the gateway and upstreams."""

import pytest

from nutmegshore.errors import ErrorKind
from nutmegshore.listener.headers import parse_head
from nutmegshore.platform.dialect import (
    HealthAnswer,
    LoadAnswer,
    PlatformDialect,
    read_caller_fields,
    read_health,
    read_load,
    write_caller_headers,
    write_customer_headers,
)
from nutmegshore.upstreams import AnswerHead

_STAMP = ('Server-Stamp', '3e1b')
_ID = ('Request-Id', 'r1')
_INSTANCE = ('Instance-Id', 'u1')
_MALFORMED = ('', '-1', 'x', '9' * 12)


def _answer(status, *headers):
    return AnswerHead(status, headers)


@pytest.mark.parametrize(
    ('head', 'is_answer'),
    [
        (_answer(200, _ID, _STAMP), True),
        (_answer(500, _ID), True),
        (_answer(200, _ID), False),
        (_answer(200, _STAMP), False),
        (_answer(200, ('Request-Id', 'r0'), _STAMP), False),
        (_answer(200, _ID, _STAMP, ('Content-Encoding', 'gzip')), False),
    ],
)
def test_only_the_answer_to_the_request_is_accepted(head, is_answer):
    """Guards against forwarding an earlier request's late answer to the next
    caller, and against a body that an intermediary altered."""
    assert PlatformDialect().is_answer_to(head, 'r1') is is_answer


@pytest.mark.parametrize(
    ('head', 'kind'),
    [
        (_answer(503, ('Not-Run', '1')), ErrorKind.UPSTREAM_REFUSED),
        (_answer(429, ('Not-Run', '1')), ErrorKind.UPSTREAM_REFUSED),
        (_answer(421), ErrorKind.UPSTREAM_MOVED),
        (_answer(503), None),
        (_answer(500), None),
    ],
)
def test_only_marked_answers_are_refusals(head, kind):
    """Guards against retrying a request that may have run after a plain 503."""
    assert PlatformDialect().read_refusal(head) is kind


@pytest.mark.parametrize(
    ('head', 'answer'),
    [
        (_answer(200, _INSTANCE), HealthAnswer('u1', 0)),
        (_answer(200, _INSTANCE, ('Cold-Ms', '1500')), HealthAnswer('u1', 1.5)),
        (
            _answer(200, _INSTANCE, ('Cold-Ms', '12.5')),
            HealthAnswer('u1', 0.0125),
        ),
        (_answer(200, _INSTANCE, ('Cold-Ms', '-1')), HealthAnswer()),
        (_answer(200, _INSTANCE, ('Cold-Ms', '1e3')), HealthAnswer()),
        (_answer(200, ('Cold-Ms', '1500')), HealthAnswer('', 1.5)),
        (_answer(503, _INSTANCE), HealthAnswer()),
    ],
)
def test_a_health_page_tells_how_long_an_upstream_is_cold(head, answer):
    """Guards against FAILBACK: an odd health page made an upstream warm."""
    assert read_health(head) == answer


def test_reserved_headers_of_callers_are_removed():
    """Guards against a caller that sets the instance or the deadline of the
    request to the upstream."""
    headers = (('Expect-Instance', 'i-1'), ('Deadline-Ms', '9'), ('A', 'b'))
    assert write_caller_headers(headers) == (('A', 'b'),)


@pytest.mark.parametrize(
    ('raw', 'remaining_ms'),
    [('2500', 2500), *((raw, None) for raw in _MALFORMED)],
)
def test_a_deadline_is_a_whole_number(raw, remaining_ms):
    """Guards against refusing a request for its malformed deadline."""
    lines = ('GET / HTTP/1.1', 'Host: a', f'Deadline-Ms: {raw}')
    lines = ('GET / HTTP/1.1', 'Host: a', f'Deadline-Ms: {raw}')
    head = parse_head('\r\n'.join(lines).encode())
    assert read_caller_fields(head).remaining_ms == remaining_ms


@pytest.mark.parametrize(
    ('raw', 'load'),
    [
        ('3,2,8', LoadAnswer(5)),
        ('3,1,8,250', LoadAnswer(4, 250)),
        ('3, 1, 8, 100', LoadAnswer(4, 100)),
        ('3,0', LoadAnswer()),
        ('3,1,8,', LoadAnswer()),
        ('3,1,8,x', LoadAnswer()),
        ('3,1,8,100,7', LoadAnswer()),
        ('a,b,c', LoadAnswer()),
        ('', LoadAnswer()),
    ],
)
def test_a_load_report_counts_running_and_waiting(raw, load):
    """Guards against counting the total of slots as load, and against dropping
    the whole report of an upstream that also tells how long work takes."""
    assert read_load(_answer(200, ('Server-Load', raw))) == load


def _caller_head(*lines):
    return parse_head(
        '\r\n'.join(('GET / HTTP/1.1', 'Host: a', *lines)).encode()
    )


@pytest.mark.parametrize(
    ('lines', 'api_key'),
    [
        (('Key: k1',), 'k1'),
        (('Key: k1', 'key: k1'), 'k1'),
        (('Key: k1', 'Key: k2'), ''),
        ((), ''),
    ],
)
def test_one_key_identifies_a_customer(lines, api_key):
    """Guards against a request that is checked by one key and counted by
    another."""
    assert read_caller_fields(_caller_head(*lines)).api_key == api_key


@pytest.mark.parametrize(
    ('customer', 'added'), [('c1', (('Tenant', 'c1'),)), ('', ())]
)
def test_upstreams_see_the_customer_and_never_the_key(customer, added):
    """Guards against UNASKED: an upstream got the key, or a customer's name
    that the caller made up."""
    headers = (('KEY', 'k1'), ('tenant', 'c9'), ('A', 'b'))
    assert write_customer_headers(headers, customer) == (('A', 'b'), *added)


def _limit_report(*texts, status=200, headers=()):
    limits = (('Server-Limit', text) for text in texts)
    return PlatformDialect().read_report(_answer(status, *headers, *limits))


@pytest.mark.parametrize(
    ('text', 'max_rate'),
    [('1.3', 1.3), ('0', 0), ('0.2', 0.2), ('1000000000', 1e9)],
)
def test_a_limit_is_read(text, max_rate):
    """Guards against LIMIT: an upstream in need names the requests per second
    that it accepts, and was not heard."""
    report = _limit_report(text)
    assert report.max_rate == max_rate
    assert report.malformed_limit is None
    assert _limit_report(text, text) == report


@pytest.mark.parametrize(
    'texts',
    [
        *((text,) for text in ('', 'nan', 'inf', '-1', '+1', '1e9', '1,3')),
        *((text,) for text in ('1.', '.5', '0x1', '\u0661', '9' * 99)),
        ('1', '2'),
    ],
)
def test_a_malformed_limit_is_no_limit(texts):
    """Guards against a limit that stops or frees an upstream by mistake."""
    report = _limit_report(*texts)
    assert report.max_rate is None
    assert report.malformed_limit == ', '.join(texts)


def test_another_instance_names_no_limit():
    """Guards against the limit of the wrong instance: one that has taken over
    an address refuses the requests for its predecessor."""
    assert _limit_report('1', status=421) is None
    assert _limit_report(status=503, headers=(('Not-Run', '1'),)).is_refusal


def _pause_report(*texts, status=503, headers=(('Not-Run', '1'),)):
    pauses = (('Retry-After', text) for text in texts)
    return PlatformDialect().read_report(_answer(status, *headers, *pauses))


@pytest.mark.parametrize(
    ('text', 'pause_s'),
    [('2', 2), ('0.25', 0.25), ('0', 0), ('999999999', 999999999)],
)
def test_a_pause_is_read(text, pause_s):
    """Guards against BUDGET: an upstream that turns a request away asks for a
    pause, and was not heard."""
    report = _pause_report(text)
    assert report.pause_s == pause_s
    assert report.malformed_pause is None
    assert _pause_report(text, text) == report
    assert _pause_report(text, headers=()).pause_s == pause_s


@pytest.mark.parametrize(
    'texts',
    [
        *((text,) for text in ('', 'nan', 'inf', '-1', '+1', '1e3', '1,5')),
        *((text,) for text in ('1.', '.5', '0x1', '\u0661', '9' * 10)),
        ('Sat, 05 Dec 2026 09:00:00 GMT',),
        ('1', '2'),
    ],
)
def test_a_malformed_pause_is_no_pause(texts):
    """Guards against an upstream that is not used for years, or gets no pause,
    by mistake."""
    report = _pause_report(*texts)
    assert report.pause_s is None
    assert report.malformed_pause == ', '.join(texts)


@pytest.mark.parametrize('status', [200, 429, 500, 502])
def test_other_answers_ask_for_no_pause(status):
    """Guards against a pause that the upstream did not ask for: of other
    answers the header tells something else."""
    report = _pause_report('2', status=status)
    assert report.pause_s is None
    assert report.malformed_pause is None


def test_another_instance_asks_for_no_pause():
    """Guards against the pause of the wrong instance at an address."""
    assert _pause_report('2', status=421) is None


def _leaving_report(*texts, status=200, headers=()):
    flags = (('Server-Leaving', text) for text in texts)
    return PlatformDialect().read_report(_answer(status, *headers, *flags))


@pytest.mark.parametrize('texts', [['1'], ['1', '1']])
def test_the_flag_of_a_leaving_upstream_is_read(texts):
    """Guards against DRAIN: an upstream said in its answers that it was
    leaving, and was not heard."""
    report = _leaving_report(*texts)
    assert report.is_leaving
    assert report.malformed_leaving is None


@pytest.mark.parametrize('texts', [[], ['0']])
def test_an_upstream_stays_without_the_flag(texts):
    """Guards against a sound upstream that gets nothing."""
    report = _leaving_report(*texts)
    assert not report.is_leaving
    assert report.malformed_leaving is None


_ODD_FLAGS = ('', '2', '01', '1.0', 'true', '1, 1', '\u0661')


@pytest.mark.parametrize(
    'texts', [('0', '1'), ('1', 'x'), *((text,) for text in _ODD_FLAGS)]
)
def test_a_malformed_flag_takes_no_upstream_out(texts):
    """Guards against a sound upstream that gets nothing because of a header
    that contradicts itself or says neither."""
    report = _leaving_report(*texts)
    assert not report.is_leaving
    assert report.malformed_leaving == ', '.join(texts)


@pytest.mark.parametrize('status', [200, 500, 503, 504])
def test_an_upstream_may_leave_in_any_answer(status):
    """Guards against an upstream that refuses or fails while it leaves, and
    was not heard."""
    assert _leaving_report('1', status=status).is_leaving
    refused = _leaving_report('1', status=503, headers=(('Not-Run', '1'),))
    assert refused.is_leaving


def test_another_instance_does_not_announce_a_leaving():
    """Guards against taking out an upstream because the instance that has its
    address now is leaving."""
    assert _leaving_report('1', status=421) is None

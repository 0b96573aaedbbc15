"""Tests of the header rules."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.listener.headers import (
    answer_headers,
    named_service,
    parse_head,
    read_body_length,
    read_deadline_ms,
    upstream_headers,
)
from nutmegshore.platform.lookup import parse_lookup

_NAMES = st.sampled_from(
    (
        'Accept',
        'connection',
        'Keep-Alive',
        'TE',
        'Trailer',
        'Upgrade',
        'X-Private',
        'X-Kept',
        'Nutmegshore-Load',
    ),
)
_TEXTS = st.text(st.characters(min_codepoint=33, max_codepoint=126))
_HEADERS = st.lists(st.tuples(_NAMES, _TEXTS)).map(tuple)


@given(headers=_HEADERS)
def test_only_end_to_end_headers_pass(headers):
    """Guards against a hop-by-hop or internal header passed on, or another
    one lost or moved."""
    listed = {
        name.strip().lower()
        for header, text in headers
        if header == 'connection'
        for name in text.split(',')
    }
    kept = [
        (name, text)
        for name, text in headers
        if name in {'Accept', 'X-Private', 'X-Kept'}
        and name.lower() not in listed
    ]
    assert list(upstream_headers(headers)) == kept
    assert list(answer_headers(headers)) == kept


def test_headers_named_in_connection_are_dropped():
    """Guards against a header that a caller meant for this hop only."""
    headers = (
        ('Connection', 'close, X-Private'),
        ('x-private', '1'),
        ('X-Kept', '2'),
    )
    assert upstream_headers(headers) == (('X-Kept', '2'),)


@given(raw=st.binary(max_size=200))
def test_any_bytes_parse_or_are_refused(raw):
    """Guards against an input that ends a connection with a bug."""
    try:
        parse_head(b'GET / HTTP/1.1\r\nHost: a\r\n%b' % raw)
    except RequestError as error:
        assert error.answer.status in {400, 431}


@given(target=st.text(st.characters(min_codepoint=33, max_codepoint=126)))
def test_any_target_has_a_path(target):
    """Guards against LOST: a target that is no URL, such as `//` or `//[`, cut
    off the caller of a service, a look-up or a page of ours."""
    head = parse_head(f'GET /{target} HTTP/1.1\r\nHost: a'.encode())
    path = head.path
    assert path.startswith('/')
    assert head.target in {path, f'{path}?{head.query}'}
    assert named_service(head) == path.split('/')[1]
    assert parse_lookup(head.target).host is not None


@given(headers=_HEADERS)
def test_what_passes_can_be_read_again(headers):
    """Guards against a head that the next hop reads differently."""
    kept = upstream_headers(headers)
    lines = ''.join(f'{name}: {text}\r\n' for name, text in kept)
    raw = f'GET / HTTP/1.1\r\n{lines}Host: a'.encode('latin-1')
    assert parse_head(raw).headers[:-1] == kept


@given(
    headers=st.lists(
        st.tuples(
            st.one_of(_NAMES, st.text(st.characters(max_codepoint=300))),
            st.text(st.characters(max_codepoint=300)).map(str.strip),
        )
    ).map(tuple)
)
def test_any_answer_can_be_written_and_read(headers):
    """Guards against LOST: a header that cannot be encoded, or has no name,
    costs the caller the whole answer."""
    kept = answer_headers(headers)
    lines = ''.join(f'{name}: {text}\r\n' for name, text in kept)
    raw = f'GET / HTTP/1.1\r\n{lines}Host: a'.encode('latin-1')
    assert parse_head(raw).headers[:-1] == kept


def test_a_name_that_no_caller_can_read_is_left_out():
    """Guards against a line of an upstream's that ends a caller's reading, or
    is read as another header."""
    headers = (('', 'a'), ('A B', 'c'), ('A:B', 'c'), ('X-Kept', '2'))
    assert answer_headers(headers) == (('X-Kept', '2'),)


@pytest.mark.parametrize(
    ('lines', 'kind'),
    [
        ('Content-Length: 1\r\nContent-Length: 1', ErrorKind.AMBIGUOUS_LENGTH),
        (
            'Content-Length: 1\r\nTransfer-Encoding: chunked',
            ErrorKind.AMBIGUOUS_LENGTH,
        ),
        ('Content-Length: +1', ErrorKind.MALFORMED_REQUEST),
        ('Content-Length: 1, 1', ErrorKind.MALFORMED_REQUEST),
        ('Content-Length: \xb2', ErrorKind.MALFORMED_REQUEST),
        ('Transfer-Encoding: gzip, chunked', ErrorKind.MALFORMED_REQUEST),
        ('Transfer-Encoding : chunked', ErrorKind.MALFORMED_REQUEST),
        ('A: 1\r\n folded', ErrorKind.MALFORMED_REQUEST),
        ('A: 1\nContent-Length: 1', ErrorKind.MALFORMED_REQUEST),
        ('Host: b', ErrorKind.MALFORMED_REQUEST),
        ('Expect: more', ErrorKind.MALFORMED_REQUEST),
        ('Nutmegshore-Deadline-Ms: soon', ErrorKind.MALFORMED_REQUEST),
        ('Nutmegshore-Request-Id: r', ErrorKind.INTERNAL_HEADER),
        ('nutmegshore-not-run: 1', ErrorKind.INTERNAL_HEADER),
    ],
)
def test_ambiguous_heads_are_refused(lines, kind):
    """Guards against a request that two parsers split differently."""
    raw = f'POST /orders HTTP/1.1\r\nHost: a\r\n{lines}'.encode('latin-1')
    with pytest.raises(RequestError) as caught:
        parse_head(raw)
    assert caught.value.kind is kind


@pytest.mark.parametrize(
    'start',
    [
        'GET http://a/ HTTP/1.1',
        'GET /a b HTTP/1.1',
        'CONNECT /a HTTP/1.1',
        'GET /a HTTP/2.0',
        'GET  /a HTTP/1.1',
    ],
)
def test_strange_start_lines_are_refused(start):
    """Guards against a target that libcurl or the upstream reads anew."""
    with pytest.raises(RequestError):
        parse_head(f'{start}\r\nHost: a'.encode())


def test_what_a_head_says():
    """Guards against a service, deadline or length that is misread."""
    head = parse_head(
        b'POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n'
        b'Nutmegshore-Deadline-Ms: 250'
    )
    chunked = parse_head(
        b'POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n'
        b'Nutmegshore-Service: tallies'
    )
    assert named_service(head) == 'orders'
    assert (read_body_length(head), read_deadline_ms(head)) == (12, 250)
    assert named_service(chunked) == 'tallies'
    assert read_body_length(chunked) is None

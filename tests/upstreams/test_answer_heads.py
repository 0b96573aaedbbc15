"""Tests of the reader of answers' heads, some on heads drawn by machine."""

import itertools
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegshore.upstreams.answer_heads import MAX_HEAD_BYTES, AnswerHeads
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer

_TOKEN_SIGNS = f"!#$%&'*+-.^_`|~{string.digits}{string.ascii_letters}"
_BLANKS = st.text(' \t', max_size=3)
_CONTROL_BYTES = bytes((*range(9), *range(10, 32), 127))
_CONTROLS = _CONTROL_BYTES.decode('latin-1')
#: Signs that no name may hold; a line that begins with a blank is a fold.
_NO_NAME_SIGNS = st.sampled_from(
    ''.join((_CONTROLS, ' \t"(),/;<=>?@[]{}', '\\', '\x80\xa0\xff'))
)
_SEARCH = settings(derandomize=True, deadline=None, max_examples=300)
_FRAMING = frozenset(('content-length', 'transfer-encoding'))
_NAMES = st.text(_TOKEN_SIGNS, min_size=1, max_size=12).filter(
    lambda name: name.lower() not in _FRAMING
)
_TEXTS = st.text(
    st.characters(max_codepoint=255, exclude_characters=_CONTROLS), max_size=20
)
_LENGTHS = st.integers(0, 10**17)
_SEVERAL_LENGTHS = st.builds(
    lambda length, zeros, count, joint: joint.join(
        itertools.repeat(f'{zeros}{length}', count)
    ),
    _LENGTHS,
    st.sampled_from(('', '0', '000')),
    st.integers(1, 3),
    st.sampled_from((',', ', ', ' ,\t')),
)
_FRAMINGS = st.one_of(
    st.just(()),
    _SEVERAL_LENGTHS.map(lambda text: (('Content-Length', text),)),
    st.sampled_from(('chunked', 'Chunked', 'CHUNKED')).map(
        lambda text: (('transfer-encoding', text),)
    ),
)
_LINES = st.builds(
    lambda name, before, text, after: f'{name}:{before}{text}{after}',
    _NAMES,
    _BLANKS,
    _TEXTS,
    _BLANKS,
)
_STATUSES = st.integers(200, 599)
_REASONS = st.one_of(st.just(''), _TEXTS.map(' {0}'.format))
_ENDS = st.sampled_from(('\r\n', '\n'))


@st.composite
def _heads(draw):
    """A sound head: its status, and its lines without ends."""
    status = draw(_STATUSES)
    lines = draw(st.lists(_LINES, max_size=5))
    framing = [f'{name}: {text}' for name, text in draw(_FRAMINGS)]
    start = f'HTTP/1.1 {status}{draw(_REASONS)}'
    return status, [start, *draw(st.permutations(lines + framing))]


def _read(lines, end='\r\n'):
    heads = AnswerHeads()
    for line in (*lines, ''):
        assert heads.final is None
        heads.add_line(f'{line}{end}'.encode('latin-1'))
    return heads.final


def _insert(line, at, sign):
    signs = list(line)
    signs.insert(at, sign)
    return ''.join(signs)


def _fault_of(lines):
    with pytest.raises(MalformedAnswer) as refused:
        _read(lines)
    return refused.value.fault


@_SEARCH
@given(sound=_heads(), end=_ENDS, interims=st.integers(0, 2))
def test_a_sound_head_is_read_whole(sound, end, interims):
    """Guards against a refusal of what the grammar allows, and against a text
    that loses a byte."""
    status, lines = sound
    interim = ('HTTP/1.1 103 Hints', 'A: b', '')
    before = itertools.chain(*itertools.repeat(interim, interims))
    final = _read([*before, *lines], end)
    assert final.status == status
    pairs = (line.partition(':') for line in lines[1:])
    expected = [
        (name, text.strip(' \t'))
        for name, _, text in pairs
        if name.lower() != 'content-length'
    ]
    found = [
        (name, text)
        for name, text in final.headers
        if name.lower() != 'content-length'
    ]
    assert found == expected


@_SEARCH
@given(sound=_heads(), sign=_NO_NAME_SIGNS, place=st.data())
def test_a_sign_in_a_name_spoils_a_head(sound, sign, place):
    """Guards against a line that two readers split in different ways."""
    _, lines = sound
    lines = [*lines, 'Name: x']
    at = place.draw(st.integers(1, len(lines) - 1))
    colon = lines[at].index(':')
    within = place.draw(st.integers(0, colon))
    lines[at] = _insert(lines[at], within, sign)
    assert _fault_of(lines) is AnswerFault.FIELD_LINE


@_SEARCH
@given(sound=_heads(), sign=st.sampled_from(_CONTROLS), place=st.data())
def test_a_control_in_a_line_spoils_a_head(sound, sign, place):
    """Guards against a text in which another reader sees a line's end."""
    _, lines = sound
    at = place.draw(st.integers(0, len(lines) - 1))
    within = place.draw(st.integers(0, len(lines[at]) - 1))
    lines[at] = _insert(lines[at], within, sign)
    fault = _fault_of(lines)
    expected = AnswerFault.FIELD_LINE if at else AnswerFault.STATUS_LINE
    assert fault is expected


@_SEARCH
@given(sound=_heads(), place=st.data())
def test_a_line_without_colon_spoils_a_head(sound, place):
    """Guards against a line that is dropped, or taken as a field."""
    _, lines = sound
    at = place.draw(st.integers(1, len(lines)))
    line = place.draw(_TEXTS.filter(lambda text: text and ':' not in text))
    lines.insert(at, line)
    assert _fault_of(lines) is AnswerFault.FIELD_LINE


@_SEARCH
@given(
    sound=_heads(),
    text=_TEXTS.filter(lambda text: not _is_length(text)),
    place=st.data(),
)
def test_a_length_that_is_no_number_spoils_a_head(sound, text, place):
    """Guards against a body whose end the upstream did not tell."""
    _, lines = sound
    framed = [line for line in lines if not _is_framing(line)]
    at = place.draw(st.integers(1, len(framed)))
    framed.insert(at, f'content-LENGTH: {text}')
    assert _fault_of(framed) is AnswerFault.LENGTH


def _is_length(text):
    parts = [part.strip(' \t') for part in text.split(',')]
    are_numbers = all(part.isascii() and part.isdecimal() for part in parts)
    return are_numbers and len(set(map(int, parts))) == 1


def _is_framing(line):
    return line.partition(':')[0].lower() in _FRAMING


@_SEARCH
@given(first=_LENGTHS, second=_LENGTHS, is_list=st.booleans())
def test_two_lengths_spoil_a_head_unless_they_are_equal(first, second, is_list):
    """Guards against one of two ends that differ."""
    lines = [f'Content-Length: {first}', f'Content-Length: {second}']
    if is_list:
        lines = [f'Content-Length: {first}, {second}']
    if first == second:
        fields = _read(['HTTP/1.1 200 OK', *lines]).fields
        assert fields['content-length'] == str(first)
    else:
        fault = _fault_of(['HTTP/1.1 200 OK', *lines])
        assert fault is AnswerFault.LENGTH


@_SEARCH
@given(sound=_heads(), coding=_TEXTS, length=_LENGTHS)
def test_a_coding_is_chunked_and_alone(sound, coding, length):
    """Guards against chunks that are passed on as a body, and against a length
    that contradicts the coding."""
    _, lines = sound
    framed = [line for line in lines if not _is_framing(line)]
    beside = [f'Content-Length: {length}', 'Transfer-Encoding: chunked']
    assert _fault_of([*framed, *beside]) is AnswerFault.LENGTH
    if coding.strip(' \t').lower() != 'chunked':
        odd = [*framed, f'Transfer-Encoding: {coding}']
        assert _fault_of(odd) is AnswerFault.CODING
    old = [line.replace('HTTP/1.1', 'HTTP/1.0', 1) for line in framed[:1]]
    chunked = [*old, *framed[1:], 'Transfer-Encoding: chunked']
    assert _fault_of(chunked) is AnswerFault.CODING


@_SEARCH
@given(
    start=st.text(
        st.characters(max_codepoint=255), min_size=1, max_size=20
    ).filter(lambda text: not text.startswith('HTTP/1.')),
    sound=_heads(),
)
def test_any_other_first_line_spoils_a_head(start, sound):
    """Guards against an answer of another protocol, or of none."""
    _, lines = sound
    fault = _fault_of([start.replace('\n', ''), *lines[1:]])
    assert fault is AnswerFault.STATUS_LINE


def test_heads_without_end_are_refused():
    """Guards against an upstream that fills the memory."""
    heads = AnswerHeads()
    heads.add_line(b'HTTP/1.1 200 OK\r\n')
    line = b'A: %b\r\n' % (b'a' * 1000)
    with pytest.raises(MalformedAnswer) as refused:
        for _ in range(MAX_HEAD_BYTES):
            heads.add_line(line)
    assert refused.value.fault is AnswerFault.HEAD_SIZE


def test_a_fault_does_not_tell_the_text_of_a_field():
    """Guards against texts of customers in the log."""
    heads = AnswerHeads()
    heads.add_line(b'HTTP/1.1 200 OK\r\n')
    heads.add_line(b'A B: secret\r\n')
    with pytest.raises(MalformedAnswer) as refused:
        heads.add_line(b'\r\n')
    assert refused.value.text == "'A B'"
    assert 'secret' not in str(refused.value)

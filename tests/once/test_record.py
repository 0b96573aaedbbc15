"""Tests of the stored form of records."""

import pytest

from nutmegshore.errors import RequestError
from nutmegshore.once import OnceRecord, RecordedAnswer, RecordState
from nutmegshore.once.record import parse_record, record_key, write_record


@pytest.mark.parametrize(
    'answer',
    [
        None,
        RecordedAnswer(201, (('A', 'b'),), b'\x00\xff'),
        RecordedAnswer(200, (), None),
    ],
)
def test_a_record_reads_back_as_written(answer):
    """Guards against a repeat that gets a changed answer."""
    record = OnceRecord(RecordState.DONE, 'e0', 1, 'digest', 5.5, answer)
    assert parse_record(write_record(record)) == record


def test_fields_of_a_key_are_delimited():
    """Guards against two callers whose keys share one record."""
    assert record_key('s', 'ab', 'c') != record_key('s', 'a', 'bc')


@pytest.mark.parametrize('body', [b'', b'[]', b'{}', b'{"state":"odd"}'])
def test_an_unreadable_record_counts_as_unknown(body):
    """Guards against a second run after a record was damaged."""
    with pytest.raises(RequestError):
        parse_record(body)

"""A search by machine for heads of answers that cannot be read."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegshore.platform.dialect import PlatformDialect, read_health
from nutmegshore.upstreams import AnswerHead
from nutmegshore.upstreams.dialect import OwnDialect

_NAMES = st.sampled_from(
    (
        'Request-Id',
        'Server-Load',
        'Server-Limit',
        'Server-Leaving',
        'Server-Stamp',
        'Retry-After',
        'Not-Run',
        'Cold-Ms',
        'Instance-Id',
        'Content-Encoding',
        'Nutmegshore-Load',
        'Nutmegshore-Leaving',
        'Nutmegshore-Not-Run',
    )
)
#: The longest have more digits than floats have room for, and than texts of
#: integers may have.
_NUMBERS = st.sampled_from((0, 1, 7, 9, 400, 5000)).map('9'.__mul__)
_TEXTS = st.one_of(
    st.text(st.characters(max_codepoint=255)),
    _NUMBERS,
    st.lists(_NUMBERS, min_size=3, max_size=3).map(','.join),
)
_HEADS = st.builds(
    AnswerHead,
    st.sampled_from((200, 204, 421, 429, 500, 503, 999)),
    st.lists(st.tuples(_NAMES, _TEXTS), max_size=4).map(tuple),
)
#: Far more requests than any upstream runs, and few enough to compute with.
_MAX_BUSY = 10**10


@pytest.mark.parametrize('dialect', [PlatformDialect(), OwnDialect()])
@settings(max_examples=500)
@given(head=_HEADS)
def test_any_head_of_an_answer_is_read(dialect, head):
    """Guards against LOST: a report that cannot be read, or computed with,
    costs the caller the answer that it came with."""
    dialect.read_request_id(head)
    dialect.read_refusal(head)
    report = dialect.read_report(head)
    if report is not None:
        assert 0 <= (report.busy or 0) < _MAX_BUSY
        assert 0 <= (report.max_rate or 0) < float('inf')
        assert 0 <= (report.pause_s or 0) < float('inf')


@given(head=_HEADS)
def test_any_health_page_is_read(head):
    """Guards against a health page that ends the checks of all upstreams."""
    assert 0 <= read_health(head).cold_left_s < float('inf')
    PlatformDialect().is_answer_to(head, 'r1')

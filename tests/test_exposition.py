"""Tests of the text exposition format."""

import pytest

from nutmegshore.counters import Counters
from nutmegshore.exposition import write_exposition

_ODD = 'a"b{0}c\nd'.format(chr(92))


def test_counters_gauges_and_histograms_are_written():
    """Guards against output that a scraper rejects or misreads."""
    counters = Counters()
    counters.add('refused', 2, reason=_ODD)
    counters.add('refused', 1)
    counters.set_gauge('headroom', 0.5, region='west')
    for seconds in (0.25, 0.75):
        counters.record_s('wait_seconds', seconds)
    lines = write_exposition(counters).splitlines()
    assert lines[:5] == [
        '# TYPE nutmegshore_refused_total counter',
        'nutmegshore_refused_total 1',
        r'nutmegshore_refused_total{reason="a\"b\\c\nd"} 2',
        '# TYPE nutmegshore_headroom gauge',
        'nutmegshore_headroom{region="west"} 0.5',
    ]
    assert lines[5] == '# TYPE nutmegshore_wait_seconds summary'
    assert lines[-1] == 'nutmegshore_wait_seconds_count 2'
    total = float(lines[-2].removeprefix('nutmegshore_wait_seconds_sum '))
    assert total == pytest.approx(1, rel=0.02)

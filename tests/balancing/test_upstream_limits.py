"""Tests of the rate limits of upstreams under load.

They run the simulation of `bench/limit_load.py`: gateways, callers, and
upstreams that name a limit in their answers, on a simulated clock. Load
pattern: some upstreams of a service are in need while its load goes on.
"""

from bench.limit_load import Fleet, LimitSpan, excess, play

#: Two upstreams of different regions that name a limit after some seconds.
_TWO_SPANS = (
    LimitSpan('west-u1', 8, 60, 1.3),
    LimitSpan('north-u2', 8, 60, 1),
)


def test_upstreams_get_no_more_than_the_limit_that_they_name():
    """Guards against LIMIT on leafscale-gj: upstreams that had named 1.3 and 1
    requests a second got 37 in 4 s from gateways that they had told.
    """
    assert excess(play(Fleet(_TWO_SPANS), seed=7), _TWO_SPANS) <= 0

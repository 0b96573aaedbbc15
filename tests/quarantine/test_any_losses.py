"""A search by machine for verdicts that cannot be found."""

import math

from hypothesis import given
from hypothesis import strategies as st

from nutmegshore.quarantine import Fingerprint, Suspects

_SERVICES = st.sampled_from(('orders', 'users'))
_FINGERPRINTS = st.builds(Fingerprint, _SERVICES, st.sampled_from('abcd'))
_UPSTREAMS = st.sampled_from(('u1', 'u2', 'u3'))
_ROUND_SECONDS = st.sampled_from((0, 1, 2, 5, 30, 600))
_SECONDS = st.one_of(_ROUND_SECONDS, st.floats(0, 1000))
_NAMES = st.sampled_from(('lose', 'clear', 'adopt', 'pass'))
_EVENTS = st.lists(st.tuples(_NAMES, _FINGERPRINTS, _UPSTREAMS, _SECONDS))


def _play(suspects, event, now):
    """Apply an event; returns the time after it."""
    name, fingerprint, upstream, seconds = event
    if name == 'lose':
        suspects.record_loss(fingerprint, upstream, now)
    elif name == 'clear':
        suspects.clear(fingerprint)
    elif name == 'adopt':
        suspects.adopt(fingerprint, seconds, now)
    else:
        now += seconds
    return now


@given(
    events=_EVENTS,
    asked=_FINGERPRINTS,
    usable=st.frozensets(_UPSTREAMS),
    late_s=_SECONDS,
)
def test_any_request_has_a_verdict(events, asked, usable, late_s):
    """Guards against LOST: a fault in a verdict, after any losses, also of all
    upstreams, costs a caller its answer."""
    suspects = Suspects()
    now = float(100)
    for event in events:
        now = _play(suspects, event, now)
        suspects.verdict(asked, now)
        assert suspects.assigned(asked, usable, now) in {'', *usable}
        # The next reading of a clock is a little later.
        now += late_s
        refused_s = suspects.refused_s(asked, now)
        assert math.isfinite(refused_s)
        assert all(left_s > 0 for left_s in suspects.quarantined(now).values())

"""A search by machine for decisions on retries that fail."""

import math
import types

import hypothesis
from hypothesis import strategies as st

from nutmegshore.balancing import FleetRetryBudget
from nutmegshore.clock import SystemClock
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.gateway.request import RoutedRequest
from nutmegshore.gateway.retries import Retries
from nutmegshore.gateway.route import Route, RouteKind, ServiceShare

#: What settings and configurations may name.
_NUMBERS = st.sampled_from((0, 1e-300, 0.2, 1, 60, 2**53, 1e300))
_COUNTS = st.integers(0, 3)
_ROUTES = st.builds(
    Route,
    name=st.just('r1'),
    host=st.just('a.example'),
    prefix=st.just('/'),
    kind=st.sampled_from(RouteKind),
    timeout_s=_NUMBERS,
    target_latency_s=_NUMBERS,
    shares=st.just((ServiceShare('orders'),)),
    max_attempts=st.integers(1, 3),
)
_REQUESTS = st.builds(
    RoutedRequest,
    incoming=st.none(),
    configuration=st.none(),
    route=_ROUTES,
    service=st.just('orders'),
    deadline=_NUMBERS,
    tried=st.sets(st.sampled_from('abcde')),
    possible_runs=_COUNTS,
    runs=_COUNTS,
)
_BUDGETS = st.builds(
    FleetRetryBudget,
    st.builds(SystemClock),
    ratio=_NUMBERS,
    window_s=_NUMBERS,
    extra=_NUMBERS,
)


@hypothesis.given(
    routed=_REQUESTS,
    budget=_BUDGETS,
    members=st.sampled_from((0, 1, 9, math.inf)),
    kind=st.sampled_from(ErrorKind),
    has_begun=st.booleans(),
    remaining_s=_NUMBERS,
)
def test_any_failure_is_retried_or_not(
    routed, budget, members, kind, has_begun, remaining_s
):
    """Guards against LOST: a fault in the decision on a retry costs the caller
    its answer; and against a second run of what may have run."""
    budget.record_request('orders')
    context = types.SimpleNamespace(
        budget=budget, count_gateways=lambda: members
    )
    retries = Retries(context)
    failure = RequestError(kind)
    obstacle = retries.obstacle(
        routed, failure, has_begun=has_begun, remaining_s=remaining_s
    )
    if routed.may_have_run and not routed.route.is_safe:
        assert obstacle
    if not obstacle:
        assert not has_begun
        retries.spend(routed, failure)
    assert math.isfinite(retries.remaining(routed))

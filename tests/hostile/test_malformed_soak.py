"""A short soak of gateways whose upstreams spoil answers."""

import asyncio

import pytest

from tests.hostile.malformed_soak import run_soak


@pytest.mark.parametrize('seed', range(2))
def test_no_trouble_lets_a_malformed_answer_through(seed):
    """Guards against MIXED and a second run of an unsafe request where spoilt
    answers meet restarts, changes, reloads and a store that fails."""
    judge = asyncio.run(run_soak(seed))
    assert not judge.breaches
    assert judge.counts['malformed']
    assert judge.counts['502']
    assert judge.counts['200'] > judge.counts['502']

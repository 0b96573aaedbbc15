"""Tests of the error kinds."""

from nutmegshore.errors import ANSWERS, ErrorKind, Outcome


def test_every_kind_has_an_answer():
    """Guards against a kind that a listener cannot answer."""
    assert set(ANSWERS) == set(ErrorKind)


def test_kinds_after_a_send_have_an_unknown_outcome():
    """Guards against "not run" in the answer to a request that may have run."""
    after_send = (
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.DEADLINE_AFTER_SEND,
        ErrorKind.CALLER_STALLED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.DUPLICATE_IN_FLIGHT,
        # An earlier request with the same key may have run.
        ErrorKind.RECORD_UNAVAILABLE,
        ErrorKind.PLATFORM_ANSWER_LOST,
    )
    outcomes = {ANSWERS[kind].outcome for kind in after_send}
    assert outcomes == {Outcome.UNKNOWN}

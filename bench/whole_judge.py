"""Judge of a whole session, by what the fakes and callers recorded."""

import collections
from collections.abc import Iterator

from bench.whole_cluster import Entry, Whole
from bench.whole_ledgers import Call
from nutmegshore.errors import Outcome
from nutmegshore.fault_counts import FAULT_METRICS
from nutmegshore.resources import Drain

__all__ = ('MEASURES', 'config_revert', 'judge')

MEASURES = (
    'over_cap',
    'region_overload',
    'crossed',
    'doubled',
    'false_not_run',
    'late_work',
    'cut_by_stop',
    'config_revert',
    'internal_faults',
)
_LATE_S = 3
_INF = float('inf')
_CUT_KINDS = ('cancelled', 'stopping')


def judge(whole: Whole) -> dict[str, int]:
    """Breaches by measure, after the session; `config_revert` is apart."""
    return {
        'over_cap': whole.ledgers.judge.over_cap(),
        'region_overload': region_overload(whole),
        'crossed': crossed(whole),
        'doubled': doubled(whole),
        'false_not_run': false_not_run(whole),
        'late_work': late_work(whole),
        'cut_by_stop': cut_by_stop(whole),
        'internal_faults': internal_faults(whole),
    }


def region_overload(whole: Whole) -> int:
    """Requests that came to an upstream with its slots and queue room full.

    The queue room equals the slots, and no fault takes out more upstreams
    than the rest can carry, so each of these was sent by a decision.
    """
    return sum(one.refused for one in whole.upstreams.values())


def crossed(whole: Whole) -> int:
    """Answers that are not the whole answer to the caller's own request."""
    ran = _ran_by_key(whole)
    wrong = 0
    for call in whole.ledgers.calls:
        own = ran[call.key][:1] if call.key else [call.request_id]
        is_wrong = call.answer and [call.answer] != own
        is_cut_short = not call.kind and call.heads != 1
        wrong += bool(is_wrong or (is_cut_short and call.ended_at < _INF))
    return wrong


def _ran_by_key(whole: Whole) -> dict[str, list[str]]:
    """Request ids in the order of their starts, by idempotency key."""
    keys = {call.request_id: call.key for call in whole.ledgers.calls}
    ran = collections.defaultdict(list)
    for _, _, request_id in whole.ledgers.starts:
        ran[keys[request_id]].append(request_id)
    return ran


def doubled(whole: Whole) -> int:
    """Runs of non-idempotent requests beyond the first, by id and by key."""
    starts = collections.Counter()
    by_id = {call.request_id: call for call in whole.ledgers.calls}
    for _, _, request_id in whole.ledgers.starts:
        call = by_id[request_id]
        if call.service == whole.orders:
            starts[call.key or request_id] += 1
    return sum(count - 1 for count in starts.values())


def false_not_run(whole: Whole) -> int:
    """Requests called not run that ran, or whose key had run before."""
    started_at = {}
    keys = {call.request_id: call.key for call in whole.ledgers.calls}
    for at, _, request_id in whole.ledgers.starts:
        started_at.setdefault(request_id, -1)
        started_at.setdefault(keys[request_id] or request_id, at)
    return sum(
        call.outcome is Outcome.NOT_RUN and _had_run(call, started_at)
        for call in whole.ledgers.calls
    )


def _had_run(call: Call, started_at: dict[str, float]) -> bool:
    is_own = call.request_id in started_at
    return is_own or started_at.get(call.key, _INF) <= call.ended_at


def late_work(whole: Whole) -> int:
    """Requests sent to a drained upstream too late by undisturbed entries.

    An entry has 3 s from the acceptance, or from the end of its last pause,
    cut or start, whichever is later.
    """
    return sum(_count_late(whole, *drained) for drained in _drained(whole))


def _count_late(whole: Whole, name: str, since: float, until: float) -> int:
    sends = [
        (at, entry)
        for at, entry, upstream, _ in whole.ledgers.sends
        if upstream == name and since + _LATE_S < at < until
    ]
    return sum(at > _due_at(whole, entry, since, at) for at, entry in sends)


def _drained(whole: Whole) -> Iterator[tuple[str, float, float]]:
    """Upstream, time of acceptance and time of the next attempt to write.

    An attempt that was not accepted may still have taken effect.
    """
    for at, _, envelope in whole.ledgers.accepted:
        if isinstance(envelope.spec, Drain):
            later = [
                asked_at
                for asked_at, key in whole.ledgers.asked
                if key == envelope.key and asked_at > at
            ]
            yield envelope.spec.upstream, at, min(later, default=_INF)


def _due_at(whole: Whole, entry: str, since: float, at: float) -> float:
    places = (entry, whole.region_by_entry[entry])
    ends = [
        end
        for place, start, end in whole.ledgers.disturbed
        if place in places and start <= at and end >= since
    ]
    return max([since, *ends]) + _LATE_S


def cut_by_stop(whole: Whole) -> int:
    """Requests at an entry before its planned stop ended that were cut."""
    return sum(
        call.entry == name
        and call.begun_at <= end
        and call.ended_at >= begun
        and (call.kind in _CUT_KINDS or call.ended_at > end)
        for name, begun, end in whole.ledgers.stops
        for call in whole.ledgers.calls
    )


def internal_faults(whole: Whole) -> int:
    """Unexpected exceptions that entries counted in their own code."""
    return sum(
        counters.total(metric)
        for counters in whole.counters
        for metric in FAULT_METRICS
    )


def config_revert(whole: Whole) -> int:
    """Tables that went back, accepted writes that met or are not in force."""
    return _went_back(whole) + _met(whole) + _not_in_force(whole)


def _went_back(whole: Whole) -> int:
    newest: dict[tuple[int, str], int] = {}
    breaches = 0
    for _, run, key, generation in whole.ledgers.merges:
        breaches += generation <= newest.get((run, key), 0)
        newest[run, key] = generation
    return breaches


def _met(whole: Whole) -> int:
    """Accepted writes of one generation beyond the first."""
    operations = collections.defaultdict(set)
    for _, _, one in whole.ledgers.accepted:
        operations[one.key, one.generation].add(one.operation)
    return sum(len(found) - 1 for found in operations.values())


def _not_in_force(whole: Whole) -> int:
    last: dict[str, int] = {}
    for _, _, one in whole.ledgers.accepted:
        last[one.key] = max(one.generation, last.get(one.key, 0))
    return sum(
        not _has(entry, key, generation)
        for entry in whole.entries()
        for key, generation in last.items()
    )


def _has(entry: Entry, key: str, generation: int) -> bool:
    present = entry.components.table.get(key)
    return present is not None and present.generation >= generation

"""Conflicts between declared intents, reported by a dry run."""

import itertools

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Drain, Envelope, Limit, Rule, Shift

__all__ = ('Conflict', 'find_conflicts')

#: Kinds of intents in their documented precedence; the earlier one wins.
_PRECEDENCE = (Drain, Limit, Shift, Rule)


@attrs.frozen
class Conflict:
    """Two overlapping intents; only the winner applies where they overlap."""

    winner: str
    loser: str
    reason: str


def find_conflicts(
    table: ConfigurationTable,
    candidate: Envelope,
) -> tuple[Conflict, ...]:
    """Conflicts of the candidate with the objects in force.

    Drains take precedence over limits, limits over shifts and shifts over
    rules; among intents of one kind the lower name wins.
    """
    if not isinstance(candidate.spec, _PRECEDENCE):
        return ()
    present = itertools.chain.from_iterable(
        table.by_name(kind).values() for kind in _PRECEDENCE
    )
    found = (
        _conflict(candidate, other)
        for other in present
        if other.key != candidate.key
    )
    return tuple(filter(None, found))


def _conflict(one: Envelope, other: Envelope) -> Conflict | None:
    winner, loser = sorted((one, other), key=_rank)
    reason = _reason(winner.spec, loser.spec)
    return Conflict(winner.key, loser.key, reason) if reason else None


def _rank(envelope: Envelope) -> tuple[int, str]:
    return _PRECEDENCE.index(type(envelope.spec)), envelope.name


def _reason(winner, loser) -> str:
    if isinstance(winner, Drain):
        return _drain_reason(winner, loser)
    if not _is_same_scope(winner, loser):
        return ''
    if isinstance(loser, Shift) and isinstance(winner, Limit):
        return 'the limit bounds what the shift may move'
    return _lower_reason(winner, loser)


def _lower_reason(winner, loser) -> str:
    if isinstance(winner, Shift) and isinstance(loser, Rule):
        return 'the shift decides before the rule'
    is_same_kind = isinstance(winner, loser.__class__)
    if isinstance(winner, Rule) and winner.trigger != loser.trigger:
        return ''
    return 'both have the same scope' if is_same_kind else ''


def _drain_reason(drain: Drain, loser) -> str:
    if not drain.region:
        return ''
    if isinstance(loser, Shift) and drain.region == loser.to_region:
        return 'the target region of the shift is drained'
    if isinstance(loser, Shift) and drain.region == loser.from_region:
        return 'the source region of the shift is drained'
    is_region = not isinstance(loser, Shift) and loser.region == drain.region
    return 'the region is drained' if is_region else ''


def _is_same_scope(winner, loser) -> bool:
    winner_regions, loser_regions = _regions(winner), _regions(loser)
    is_everywhere = '' in winner_regions or '' in loser_regions
    is_region_shared = is_everywhere or not winner_regions.isdisjoint(
        loser_regions
    )
    return is_region_shared and _overlap(winner.service, loser.service)


def _overlap(one: str, other: str) -> bool:
    return one == other or not (one and other)


def _regions(spec) -> frozenset[str]:
    if isinstance(spec, Shift):
        return frozenset((spec.from_region, spec.to_region))
    return frozenset((spec.region,))

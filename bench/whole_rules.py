"""Rules of the product that a proof takes out, by measure."""

import contextlib
from collections.abc import Iterator
from types import MappingProxyType
from unittest import mock

from nutmegshore.callers import CallerForwarder, IdempotencyClaim
from nutmegshore.configuration import table
from nutmegshore.entry import keyed_records
from nutmegshore.entry.caps_gate import CapsGate
from nutmegshore.errors import NutmegshoreError
from nutmegshore.once import once
from nutmegshore.steering import plan
from nutmegshore.steering.choice import Chooser
from nutmegshore.steering.load_reporter import LoadReporter

__all__ = ('RULES', 'without')


async def _claim_all(*_) -> IdempotencyClaim:
    return IdempotencyClaim()


async def _wait_for_nothing(*_) -> None:
    """End at once, whatever is in flight."""


def _fail(*_) -> None:
    raise ArithmeticError('taken out')


def _first(self, candidates, service) -> str:
    return min((one.name for one in candidates), default='')


def _by_operation(envelope) -> tuple[str]:
    return (envelope.operation,)


#: Rule in words, and the (place, name, replacement)s that take it out.
RULES = MappingProxyType(
    {
        'over_cap': (
            'a moved request needs a unit of its cap',
            [(CapsGate, 'try_acquire', lambda *_: True)],
        ),
        'region_overload': (
            'an upstream without a free slot is not chosen',
            [(Chooser, 'choose', _first)],
        ),
        'crossed': (
            'records are told apart by key and by request',
            [
                (once, 'record_key', lambda *_: 'once/one'),
                (keyed_records, '_request_digest', lambda *_: ''),
            ],
        ),
        'doubled': (
            'only the creator of the record sends a keyed request',
            [(keyed_records.KeyedRecords, 'begin', _claim_all)],
        ),
        'false_not_run': (
            'a keyed request refused before its record was read is unknown',
            [
                (
                    NutmegshoreError,
                    'is_outcome_unknown',
                    property(
                        lambda _: False,
                        lambda *_: None,
                    ),
                )
            ],
        ),
        'late_work': (
            'the plan leaves drained upstreams out',
            [(plan, '_drained_upstreams', lambda *_: {})],
        ),
        'cut_by_stop': (
            'a stop waits for the last request in flight',
            [(CallerForwarder, 'drain', _wait_for_nothing)],
        ),
        'config_revert': (
            'a table keeps the higher generation',
            [(table, '_rank', _by_operation)],
        ),
        'internal_faults': (
            'handlers of messages expect what peers send',
            [(LoadReporter, '_handle_region', _fail)],
        ),
    },
)


@contextlib.contextmanager
def without(measure: str) -> Iterator[None]:
    """Take the rule behind a measure out."""
    with contextlib.ExitStack() as stack:
        for place, name, other in RULES[measure][1]:
            patch = mock.patch.object(place, name, other, create=True)
            stack.enter_context(patch)
        yield

"""Takes each safety rule of the caps out: python -m bench.caps_rules.

Prints for each rule the first schedule that goes over the cap without it.
"""

import contextlib
import functools
import math
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from types import MappingProxyType
from unittest import mock

import attrs

from bench.caps_faults import run_isolated, run_schedule
from nutmegshore.caps import Caps, holding, lease_renewer, ledger, loans, window
from nutmegshore.caps.clock_drift import add_drift_margin
from nutmegshore.store import Expected

__all__ = ('RULES', 'first_red', 'without')

_SEEDS = 200
_WORKERS = 4
#: The wait that the shorter of two declared leases calls for.
_SHORT_LEASE_S = 11.5

#: Rules whose absence shows in tenths of a second only.
_NARROW = frozenset(
    (
        'window covers a second on a fast clock',
        'takeover waits for a window',
        'takeover waits for drift',
    ),
)

Patch = tuple[object, str, object]


def _owned(self, now):
    return min(self.units, self.target)


def _limit(self, now, limit=holding.Holding.limit):
    ended = [part for part in self.borrowed.by_key.values() if now >= part.ends]
    return limit(self, now) + sum(part.units for part in ended)


def _renew_from_answer(self, now, share, lease_ends):
    self.units = share.units
    self.apply_target(now, share.target)
    self.lease_ends = now + share.lease_seconds


def _ripe(wait):
    return functools.partialmethod(_ripe_at, wait)


def _ripe_at(self, wait, held):
    return {
        share.identity: self._observations[share.identity].first_seen_at
        + wait(share.lease_seconds, held.handover_s)
        for share in self.ledger.shares
        if share.identity != self.identity
    }


def _target(self, now):
    return self.target


def _end_a_second_on(self, now, seconds):
    return now + 1


def _end(self, now, seconds):
    return now + seconds


def _longest(self, now, longest):
    return longest


def _keep_asked(self, lender):
    """Forget nothing."""


def _always(self, taken_at):
    return True


def _lendable(self, now):
    return max(self.owned(now) - self.lent.units(now), 0)


def _take_back_now(self, now, sender, returned):
    for key in tuple(self._holding.lent.by_key):
        if key.startswith(f'{sender}/{returned.token}'):
            self._holding.lent.by_key.pop(key)


def _accept_from_receipt(self, sender, loan, accept=loans.Borrower.accept):
    asked = self._pending.get(loan.number)
    if asked is not None:
        self._pending[loan.number] = attrs.evolve(asked, sent_at=math.inf)
    answer = accept(self, sender, loan)
    part = self._holding.borrowed.by_key.get(f'{sender}/{loan.lender}')
    if part is not None and part.ends == math.inf:
        part.ends = self.clock.now() + loan.seconds
    return answer


def _write_blind(platform, key, body, expected, operation):
    return _write_over(platform, key, body, operation)


async def _write_over(platform, key, body, operation):
    present = await platform.read(key)
    condition = present and Expected.of(present)
    return await platform.write(key, body, condition, operation)


def _predecessor(self):
    self._has_written = True
    return (self._member[0], '')


def _put_next(found, own, claim):
    if own.units == 0:
        return found.without(frozenset((own.identity,)))
    renewed = attrs.evolve(
        own,
        lease_seconds=claim.lease_seconds,
        sequence=own.sequence + 1,
    )
    return found.with_share(renewed)


def _cut_at_once(found, claim, recap=ledger._apply_cap):
    cut = recap(found, claim)
    shares = [attrs.evolve(one, units=one.target) for one in cut.shares]
    return attrs.evolve(cut, shares=tuple(shares))


_Borrower = loans.Borrower
_Holding = holding.Holding

#: Patches that take one rule out, by the rule.
RULES = MappingProxyType(
    {
        'window covers a second on a fast clock': [
            (window.Window.__init__, '__defaults__', (1,)),
        ],
        'lease is checked at the time of use': [(_Holding, 'owned', _owned)],
        'loan is checked at the time of use': [
            (_Holding, 'limit', _limit),
        ],
        'lease counts from before the write': [
            (_Holding, 'renew', _renew_from_answer),
        ],
        'takeover waits for the whole lease': [
            (
                lease_renewer.LeaseRenewer,
                '_takeover_times',
                _ripe(lambda lease, hold: lease / 2),
            ),
        ],
        'takeover waits for a window': [
            (
                lease_renewer.LeaseRenewer,
                '_takeover_times',
                _ripe(lambda lease, _: add_drift_margin(lease)),
            ),
        ],
        'takeover waits for drift': [
            (
                lease_renewer.LeaseRenewer,
                '_takeover_times',
                _ripe(lambda lease, hold: lease + hold),
            ),
        ],
        'lease written by the owner counts': [
            (
                lease_renewer.LeaseRenewer,
                '_takeover_times',
                _ripe(lambda lease, hold: _SHORT_LEASE_S),
            ),
        ],
        'a renewal is conditional': [
            (lease_renewer, 'write_resolved', _write_blind),
        ],
        'a new process is a new owner': [
            (lease_renewer.LeaseRenewer, '_draw_identity', _predecessor),
        ],
        'sequences never repeat': [(ledger, '_replace_share', _put_next)],
        'a cut is confirmed by its owner': [
            (ledger, '_apply_cap', _cut_at_once)
        ],
        'a cut is confirmed after a window': [
            (_Holding, 'unreleased', _target),
        ],
        'lent units wait for the end of the loan': [
            (_Holding, 'loan_ends', _end_a_second_on),
        ],
        'lent units wait for window and drift': [
            (_Holding, 'loan_ends', _end),
        ],
        'loan ends before the lease': [
            (_Holding, 'loan_seconds', _longest),
        ],
        'only unused units are lent': [(_Holding, 'lendable', _lendable)],
        'returned units wait for a window': [
            (loans.Lender, 'handle_return', _take_back_now),
        ],
        'answers before a return do not count': [
            (_Borrower, '_drop_pending', _keep_asked),
        ],
        'a request is sent right after its check': [
            (Caps, 'is_sendable', _always),
        ],
    },
)


@contextlib.contextmanager
def without(rule: str) -> Iterator[None]:
    """Run with one rule taken out."""
    with contextlib.ExitStack() as stack:
        for target, name, replacement in RULES[rule]:
            patch = mock.patch.object(target, name, replacement)
            stack.enter_context(patch)
        yield


def first_red(rule: str) -> tuple[str, str, int, int]:
    """First seed that is over the cap without a rule, and its count."""
    schedule = run_isolated if rule in _NARROW else run_schedule
    with without(rule):
        for seed in range(_SEEDS):
            over = schedule(seed).over_cap
            if over:
                return (rule, schedule.__name__, seed, over)
    return (rule, '', -1, 0)


def main() -> int:
    """Print a line for each rule; exit code 1 if one is never missed."""
    is_green = False
    with ProcessPoolExecutor(_WORKERS) as workers:
        for rule, name, seed, over in workers.map(first_red, RULES):
            sys.stdout.write(f'| {rule} | {name} | {seed} | {over} |\n')
            sys.stdout.flush()
            is_green = is_green or seed < 0
    return 1 if is_green else 0


if __name__ == '__main__':
    sys.exit(main())

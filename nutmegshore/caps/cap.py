"""One measure of a cap at one instance."""

import enum
import math
import random

import attrs

from nutmegshore.caps.declared import CONCURRENCY, DeclaredCap
from nutmegshore.caps.clock_drift import WINDOW_S
from nutmegshore.caps.loan_balancer import LoanBalancer
from nutmegshore.caps.holding import Holding
from nutmegshore.caps.lease_renewer import LeaseRenewer, CapTerms
from nutmegshore.caps.ledger import ledger_key
from nutmegshore.caps.window import Usage
from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError, VersionConflict
from nutmegshore.peers import Peers
from nutmegshore.store import Platform
from nutmegshore.resources import InvalidObject

__all__ = ('Cap', 'CapStatus', 'HeldBack', 'CapDependencies')

#: Seconds that units of concurrency stay out of use after a lease or loan; a
#: longer request can still run when another instance uses its units.
_CONCURRENCY_HANDOVER_S = 60
_TOKEN_BITS = 64
_START_JITTER_S = 2
_CHANGE_JITTER_S = 0.3
_CONFLICT_JITTER_S = (0.05, 0.5)
_FAILURE_JITTER_S = (1, 5)
_LEAVE_ATTEMPTS = 4


class HeldBack(enum.Enum):
    """Why this instance cannot use the whole declared cap."""

    NOTHING = ''
    NOT_DECLARED = 'not_declared'
    CAP_IS_ZERO = 'cap_is_zero'
    LEDGER_INVALID = 'ledger_invalid'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    LEDGER_UNREAD = 'ledger_unread'
    LEASE_LAPSED = 'lease_lapsed'
    CUT_NOT_CONFIRMED = 'cut_not_confirmed'
    NO_UNITS = 'no_units'


@attrs.frozen
class CapStatus:
    """State of one measure of a cap at this instance, in units.

    `in_force` is the cap that all entries together keep; it is above
    `declared` until every owner has confirmed a cut.
    """

    measure: str
    declared: int
    in_force: int
    owned: int
    lent: int
    borrowed: int
    used: int
    held_back: HeldBack


@attrs.frozen
class CapDependencies:
    """What the caps of one instance share."""

    platform: Platform
    peers: Peers
    clock: Clock
    rng: random.Random
    counters: Counters
    incarnation: int

    def token(self) -> str:
        """Draw a random text that is unique to this process."""
        return '{0:x}'.format(self.rng.getrandbits(_TOKEN_BITS))


class Cap:
    """Ledger, loans and use of one measure of one declared object."""

    def __init__(
        self,
        kind: str,
        name: str,
        measure: str,
        dependencies: CapDependencies,
    ) -> None:
        """Start without units; `declare` sets the cap."""
        self.measure = measure
        self.key = ledger_key(kind, name, measure)
        self._dependencies = dependencies
        self.holding = _holding(measure)
        self.renewer = LeaseRenewer(
            self.key,
            (dependencies.peers.local.name, dependencies.incarnation),
            dependencies.platform,
            dependencies.clock,
            dependencies.rng,
        )
        self.loan_balancer = LoanBalancer(
            self.key, dependencies.token(), self.holding
        )
        self._declared = DeclaredCap(0, 1)
        self._generation = 0
        self._failure = HeldBack.LEDGER_UNREAD
        self._next_sync_at = -math.inf

    def declare(self, generation: int, declared: DeclaredCap | None) -> None:
        """Apply the declared cap; None for a deleted object."""
        now = self._dependencies.clock.now()
        jitter_s = _CHANGE_JITTER_S if self._generation else _START_JITTER_S
        previous = self._declared
        self._declared = declared or DeclaredCap(0, previous.lease_seconds)
        self._generation = generation
        self._next_sync_at = now + self._dependencies.rng.uniform(0, jitter_s)
        if self._declared.units < self.renewer.ledger.cap:
            self._cut_early(now)

    def can_acquire(self, now: float, units: int) -> bool:
        """Record the demand; whether this many units may be used now."""
        is_allowed = self._declared.units > 0
        is_allowed = is_allowed and self.holding.has_capacity(now, units)
        self.loan_balancer.record(now, units, is_allowed=is_allowed)
        return is_allowed

    def is_sync_due(self, now: float, *, is_candidate: bool) -> bool:
        """Whether a sync of the ledger is needed and due.

        An instance that neither owns nor should own a share reads only when
        its callers ask for units.
        """
        if now < self._next_sync_at:
            return False
        is_owner = self.renewer.ledger.share_of(self.renewer.identity)
        if self._declared.units <= 0 and not is_owner:
            return False
        return bool(
            is_owner or is_candidate or self.loan_balancer.units_needed(now)
        )

    async def sync(self, expected_owners: int, *, is_candidate: bool) -> None:
        """Read and write the ledger once, and schedule the next sync."""
        terms = self._terms(expected_owners, is_candidate=is_candidate)
        try:
            await self.renewer.sync(terms, self.holding)
        except VersionConflict:
            self._fail(self._failure, _CONFLICT_JITTER_S, 'conflict')
        except PlatformError:
            kind = HeldBack.PLATFORM_UNAVAILABLE
            self._fail(kind, _FAILURE_JITTER_S, kind.value)
        except InvalidObject:
            kind = HeldBack.LEDGER_INVALID
            self._fail(kind, _FAILURE_JITTER_S, kind.value)
        else:
            now = self._dependencies.clock.now()
            self._failure = HeldBack.NOTHING
            if self._generation == terms.generation:
                self._next_sync_at = self.renewer.next_at(
                    now, terms, self.holding
                )

    async def leave(self) -> None:
        """Stop using the cap and release the share, in a few attempts."""
        now = self._dependencies.clock.now()
        self.loan_balancer.return_all(now, self._dependencies.peers.send)
        self.holding.apply_target(now, 0)
        if self.holding.units:
            await self._dependencies.clock.sleep(WINDOW_S)
            await self._release_share(_LEAVE_ATTEMPTS)

    def balance(self, now: float) -> None:
        """Request missing units, renew loans, or return surplus units."""
        self.loan_balancer.balance(
            now,
            self._declared.units,
            self.renewer.other_owners(),
            self._dependencies.peers.send,
        )

    def handle_message(self, sender: str, body: object) -> None:
        """Handle a loan message, and send the answer if there is one."""
        answer = self.loan_balancer.handle_message(
            body, self._dependencies.clock.now(), sender
        )
        if answer is not None:
            name = type(answer).__name__
            self._dependencies.counters.add('cap_answers', message=name)
            self._dependencies.peers.send(sender, answer)

    def status(self) -> CapStatus:
        """State at this moment."""
        now = self._dependencies.clock.now()
        ledger = self.renewer.ledger
        return CapStatus(
            measure=self.measure,
            declared=self._declared.units,
            in_force=max(ledger.cap, ledger.assigned),
            owned=self.holding.owned(now),
            lent=self.holding.lent.units(now),
            borrowed=self.holding.borrowed.units(now),
            used=self.holding.usage.count(now),
            held_back=self._held_back(now),
        )

    async def _release_share(self, attempts: int) -> None:
        terms = self._terms(1, is_candidate=True)
        try:
            await self.renewer.sync(terms, self.holding, is_leaving=True)
        except VersionConflict:
            if attempts > 1:
                jitter_s = self._dependencies.rng.uniform(*_CONFLICT_JITTER_S)
                await self._dependencies.clock.sleep(jitter_s)
                await self._release_share(attempts - 1)
        except (PlatformError, InvalidObject):
            # The share expires with its lease instead.
            self._dependencies.counters.add('cap_leaves_failed')

    def _held_back(self, now: float) -> HeldBack:
        ledger = self.renewer.ledger
        if self._declared.units <= 0:
            return HeldBack.CAP_IS_ZERO
        if self.holding.units and now >= self.holding.lease_ends:
            return HeldBack.LEASE_LAPSED
        if self._failure is not HeldBack.NOTHING:
            return self._failure
        if max(ledger.cap, ledger.assigned) > self._declared.units:
            return HeldBack.CUT_NOT_CONFIRMED
        has_units = self.holding.limit(now) > 0
        return HeldBack.NOTHING if has_units else HeldBack.NO_UNITS

    def _terms(self, expected_owners: int, *, is_candidate: bool) -> CapTerms:
        return CapTerms(
            generation=self._generation,
            cap=self._declared.units,
            lease_seconds=self._declared.lease_seconds,
            expected_owners=expected_owners,
            is_candidate=is_candidate,
        )

    def _cut_early(self, now: float) -> None:
        """Reduce the use at once, before the ledger records the cut."""
        assigned = max(self.renewer.ledger.assigned, 1)
        target = self.holding.units * self._declared.units // assigned
        self.holding.apply_target(now, min(target, self.holding.target))

    def _fail(
        self,
        failure: HeldBack,
        jitter_s: tuple[float, float],
        reason: str,
    ) -> None:
        now = self._dependencies.clock.now()
        self._failure = failure
        self._next_sync_at = now + self._dependencies.rng.uniform(*jitter_s)
        self._dependencies.counters.add('cap_sync_failures', reason=reason)


def _holding(measure: str) -> Holding:
    if measure == CONCURRENCY:
        return Holding(Usage(is_rate=False), _CONCURRENCY_HANDOVER_S)
    return Holding()

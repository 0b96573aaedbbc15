"""Reads and conditional writes of one cap's ledger."""

import itertools
import math
import random

import attrs

from nutmegshore.caps.clock_drift import WINDOW_S, add_drift_margin
from nutmegshore.caps.holding import Holding
from nutmegshore.caps.ledger import (
    Identity,
    LeaseRenewal,
    Ledger,
    claim_share,
    parse_ledger,
    write_ledger,
)
from nutmegshore.clock import Clock
from nutmegshore.errors import PlatformAnswerLost
from nutmegshore.store import (
    Expected,
    Platform,
    StoredObject,
    write_resolved,
)

__all__ = ('LeaseRenewer', 'CapTerms')

_RENEWALS_PER_LEASE = 3
_EARLIEST_RENEWAL = 0.9
#: A sync renews the lease when less than this fraction of it remains.
_RENEW_BELOW_FRACTION = 0.75
#: Base wait while units have no owner, since others are about to join.
_JOIN_WAIT_S = 3
_TAKEOVER_JITTER_S = 2
_CUT_JITTER_S = 0.3
_TOKEN_BITS = 64
_LEAVING_LEASE_S = 10


@attrs.frozen
class CapTerms:
    """The declared cap as this instance knows it.

    `expected_owners` is the number of owners to expect. `is_candidate` says
    whether this instance should own a share.
    """

    generation: int
    cap: int
    lease_seconds: float
    expected_owners: int = 1
    is_candidate: bool = True


@attrs.frozen
class _Observation:
    sequence: int
    first_seen_at: float


class LeaseRenewer:
    """Renews the lease on one process's share of a ledger.

    Each process draws a new `identity`. A process that starts under the name
    of an earlier one is a different owner, and waits for the lease of the
    earlier share to expire like any other instance.
    """

    def __init__(
        self,
        key: str,
        member: tuple[str, int],
        platform: Platform,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Renew in the ledger at `key` for a member (name, incarnation)."""
        self._key = key
        self._member = member
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._observations: dict[Identity, _Observation] = {}
        self._absent_since = math.inf
        self._has_written = False
        self._operations = itertools.count(1)
        self._sequences = itertools.count(1)
        self.identity = self._draw_identity()
        self.ledger = Ledger()
        self._join_waits = 0
        self.read_at = -math.inf
        self.longest_lease_s = float(0)

    async def sync(
        self,
        terms: CapTerms,
        holding: Holding,
        is_leaving: bool = False,
    ) -> None:
        """Read the ledger, then renew, join, cut, take over or leave.

        Raises `PlatformError` and, for a ledger that fails its checks,
        `InvalidObject`. Units that the write gives up are out of use before
        it is sent, and the new lease counts from before the write.
        """
        stored = await self._platform.read(self._key)
        now = self._clock.now()
        target = holding.target if is_leaving else math.inf
        self._adopt(now, stored, holding, target)
        if not self._may_write(now, terms, is_absent=stored is None):
            return
        renewal = self._renewal(now, terms, holding, is_leaving=is_leaving)
        ledger = claim_share(self.ledger, renewal)
        if self._needs_write(now, ledger, holding):
            await self._write(stored, ledger, holding)

    def next_at(self, now: float, terms: CapTerms, holding: Holding) -> float:
        """Local time of the next sync."""
        own = self.ledger.share_of(self.identity)
        times = [now + terms.lease_seconds]
        if own is not None and own.target < own.units:
            cut_jitter = self._rng.uniform(0, _CUT_JITTER_S)
            times.append(now + WINDOW_S + cut_jitter)
        if self.ledger.free > 0 or not self.ledger.shares:
            times.append(now + self._next_join_wait_s(terms))
        if own is not None or terms.is_candidate:
            lease = own.lease_seconds if own else terms.lease_seconds
            lease = min(lease, terms.lease_seconds)
            early = self._rng.uniform(_EARLIEST_RENEWAL, 1)
            times.append(now + lease / _RENEWALS_PER_LEASE * early)
            jitter = self._rng.uniform(0, _TAKEOVER_JITTER_S)
            times.extend(
                max(takeover_at, now) + jitter
                for takeover_at in self._takeover_times(holding).values()
            )
        return min(times)

    def other_owners(self) -> dict[str, int]:
        """Target units of each other owner, by name."""
        return {
            share.owner: share.target
            for share in self.ledger.shares
            if share.identity != self.identity
        }

    def _needs_write(
        self, now: float, ledger: Ledger, holding: Holding
    ) -> bool:
        """Whether a write is needed, beyond an early renewal."""
        own = ledger.share_of(self.identity)
        present = self.ledger.share_of(self.identity)
        if own is None or present is None:
            return ledger != self.ledger
        early = attrs.evolve(own, sequence=present.sequence)
        is_renewal = ledger.with_share(early) == self.ledger
        remaining_s = holding.lease_ends - now
        return (
            not is_renewal
            or remaining_s < own.lease_seconds * _RENEW_BELOW_FRACTION
        )

    def _next_join_wait_s(self, terms: CapTerms) -> float:
        """Seconds to wait, longer each time, for others to join."""
        self._join_waits += 1
        longest = terms.lease_seconds / _RENEWALS_PER_LEASE
        return min(_JOIN_WAIT_S * self._join_waits * self._join_waits, longest)

    def _adopt(
        self,
        now: float,
        stored: StoredObject | None,
        holding: Holding,
        target: float,
    ) -> None:
        """Adopt a ledger that was read, and observe its shares.

        `target` bounds what the ledger lets this instance use.
        """
        ledger = Ledger() if stored is None else parse_ledger(stored.body)
        self.read_at = now
        self.ledger = ledger
        self._observe(now, ledger, is_absent=stored is None)
        if ledger.share_of(self.identity) and not self._has_written:
            # An earlier process drew the same identity.
            self.identity = self._draw_identity()
        own = ledger.share_of(self.identity)
        if own is None:
            holding.expire_lease()
        else:
            holding.shrink(own.units)
            holding.apply_target(now, min(own.target, own.units, target))

    def _observe(self, now: float, ledger: Ledger, *, is_absent: bool) -> None:
        observations = {}
        for share in ledger.shares:
            present = self._observations.get(share.identity)
            if present is None or present.sequence != share.sequence:
                present = _Observation(share.sequence, now)
            observations[share.identity] = present
            self.longest_lease_s = max(
                self.longest_lease_s, share.lease_seconds
            )
        self._observations = observations
        if is_absent:
            self._absent_since = min(self._absent_since, now)
        else:
            self._absent_since = math.inf

    def _may_write(
        self, now: float, terms: CapTerms, *, is_absent: bool
    ) -> bool:
        """Whether this instance owns a share or may own one.

        A ledger that disappeared is created again only after the longest
        observed lease, when none of its owners can still use units.
        """
        if not is_absent:
            is_owner = self.ledger.share_of(self.identity) is not None
            return is_owner or terms.is_candidate
        wait = add_drift_margin(self.longest_lease_s + WINDOW_S)
        is_known = self.longest_lease_s > 0
        is_over = not is_known or now - self._absent_since >= wait
        return terms.is_candidate and is_over

    def _takeover_times(self, holding: Holding) -> dict[Identity, float]:
        """Earliest takeover of each other owner's share, by observation."""
        return {
            share.identity: self._observations[share.identity].first_seen_at
            + add_drift_margin(share.lease_seconds + holding.handover_s)
            for share in self.ledger.shares
            if share.identity != self.identity
            and share.identity in self._observations
        }

    def _renewal(
        self,
        now: float,
        terms: CapTerms,
        holding: Holding,
        *,
        is_leaving: bool,
    ) -> LeaseRenewal:
        expired = [
            identity
            for identity, takeover_at in self._takeover_times(holding).items()
            if now >= takeover_at
        ]
        return LeaseRenewal(
            identity=self.identity,
            generation=terms.generation,
            cap=terms.cap,
            lease_seconds=(
                _LEAVING_LEASE_S if is_leaving else terms.lease_seconds
            ),
            sequence=next(self._sequences),
            unreleased=holding.unreleased(now),
            expired=frozenset(expired),
            expected_owners=terms.expected_owners,
            is_leaving=is_leaving,
        )

    async def _write(
        self,
        stored: StoredObject | None,
        ledger: Ledger,
        holding: Holding,
    ) -> None:
        own = ledger.share_of(self.identity)
        holding.shrink(own.units if own else 0)
        started = self._clock.now()
        try:
            await write_resolved(
                self._platform,
                self._key,
                write_ledger(ledger),
                stored and Expected.of(stored),
                self._operation(),
            )
        except PlatformAnswerLost:
            self._has_written = True
            raise
        self._has_written = True
        self.ledger = ledger
        if own is None:
            holding.expire_lease()
        else:
            lease_ends = started + own.lease_seconds
            holding.renew(self._clock.now(), own, lease_ends)
            self.longest_lease_s = max(self.longest_lease_s, own.lease_seconds)

    def _draw_identity(self) -> Identity:
        name, incarnation = self._member
        token = self._rng.getrandbits(_TOKEN_BITS)
        return (name, f'{incarnation}-{token:x}')

    def _operation(self) -> str:
        number = next(self._operations)
        return '-'.join((*self.identity, str(number)))

"""Reads and conditional writes of one cap's ledger."""

import itertools
import math
import random

import attrs

from nutmegshore.caps.drift import WINDOW_S, outlast
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
_EARLIEST = 0.9
#: Part of the lease that is left when a reading also renews.
_RENEW_BELOW = 0.75
#: While units have no owner, others are about to join.
_JOINING_S = 3
_TAKEOVER_JITTER_S = 2
_CUT_JITTER_S = 0.3
_TOKEN_BITS = 64
_LEAVING_LEASE_S = 10


@attrs.frozen
class CapTerms:
    """The declared cap as this instance knows it.

    `parts` is the number of owners to expect; `is_candidate` says whether
    this instance should own a share.
    """

    generation: int
    cap: int
    lease_seconds: float
    parts: int = 1
    is_candidate: bool = True


@attrs.frozen
class _Seen:
    sequence: int
    first_at: float


class LeaseRenewer:
    """Keeps the share of one process in one ledger.

    `identity` is drawn anew for each process: a process that starts under
    the name of an earlier one is another owner and waits for the earlier
    share to lapse like everybody else.
    """

    def __init__(
        self,
        key: str,
        member: tuple[str, int],
        platform: Platform,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep the ledger at a key for a member (name, incarnation)."""
        self._key = key
        self._member = member
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._seen: dict[Identity, _Seen] = {}
        self._absent_since = math.inf
        self._has_written = False
        self._operations = itertools.count(1)
        self._sequences = itertools.count(1)
        self.identity = self._draw_identity()
        self.ledger = Ledger()
        self._joining = 0
        self.read_at = -math.inf
        self.lease_seen_s = float(0)

    async def sync(
        self,
        plan: CapTerms,
        holding: Holding,
        is_leaving: bool = False,
    ) -> None:
        """Read the ledger, then renew, join, cut, take over or leave.

        Raises `PlatformError` and, for a ledger that fails its checks,
        `InvalidObject`. Units that the write gives up are out of use before
        it is sent, and the new lease counts from then.
        """
        stored = await self._platform.read(self._key)
        now = self._clock.now()
        target = holding.target if is_leaving else math.inf
        self._learn(now, stored, holding, target)
        if not self._may_write(now, plan, is_absent=stored is None):
            return
        claim = self._claim(now, plan, holding, is_leaving=is_leaving)
        ledger = claim_share(self.ledger, claim)
        if self._is_due(now, ledger, holding):
            await self._write(stored, ledger, holding)

    def next_at(self, now: float, plan: CapTerms, holding: Holding) -> float:
        """When the ledger is to be read next; infinite for never."""
        own = self.ledger.share_of(self.identity)
        times = [now + plan.lease_seconds]
        if own is not None and own.target < own.units:
            cut_jitter = self._rng.uniform(0, _CUT_JITTER_S)
            times.append(now + WINDOW_S + cut_jitter)
        if self.ledger.free > 0 or not self.ledger.shares:
            times.append(now + self._joining_s(plan))
        if own is not None or plan.is_candidate:
            lease = own.lease_seconds if own else plan.lease_seconds
            lease = min(lease, plan.lease_seconds)
            early = self._rng.uniform(_EARLIEST, 1)
            times.append(now + lease / _RENEWALS_PER_LEASE * early)
            jitter = self._rng.uniform(0, _TAKEOVER_JITTER_S)
            times.extend(
                max(ripe_at, now) + jitter
                for ripe_at in self._ripe_at(holding).values()
            )
        return min(times)

    def other_owners(self) -> dict[str, int]:
        """Units that may be used of each other owner, by its name."""
        return {
            share.owner: share.target
            for share in self.ledger.shares
            if share.identity != self.identity
        }

    def _is_due(self, now: float, ledger: Ledger, holding: Holding) -> bool:
        """Whether a write does more than renew early."""
        own = ledger.share_of(self.identity)
        present = self.ledger.share_of(self.identity)
        if own is None or present is None:
            return ledger != self.ledger
        early = attrs.evolve(own, sequence=present.sequence)
        is_renewal = ledger.with_share(early) == self.ledger
        left = holding.lease_ends - now
        return not is_renewal or left < own.lease_seconds * _RENEW_BELOW

    def _joining_s(self, plan: CapTerms) -> float:
        """Wait, longer each time, for others to take the free units."""
        self._joining += 1
        longest = plan.lease_seconds / _RENEWALS_PER_LEASE
        return min(_JOINING_S * self._joining * self._joining, longest)

    def _learn(
        self,
        now: float,
        stored: StoredObject | None,
        holding: Holding,
        target: float,
    ) -> None:
        """Take in a reading, and when each share was first seen so.

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
            holding.aim_at(now, min(own.target, own.units, target))

    def _observe(self, now: float, ledger: Ledger, *, is_absent: bool) -> None:
        seen = {}
        for share in ledger.shares:
            present = self._seen.get(share.identity)
            if present is None or present.sequence != share.sequence:
                present = _Seen(share.sequence, now)
            seen[share.identity] = present
            self.lease_seen_s = max(self.lease_seen_s, share.lease_seconds)
        self._seen = seen
        if is_absent:
            self._absent_since = min(self._absent_since, now)
        else:
            self._absent_since = math.inf

    def _may_write(
        self, now: float, plan: CapTerms, *, is_absent: bool
    ) -> bool:
        """Whether this instance has a part in the ledger, or may have one.

        A ledger that vanished is created again only when no owner that it
        named can be left.
        """
        if not is_absent:
            is_owner = self.ledger.share_of(self.identity) is not None
            return is_owner or plan.is_candidate
        wait = outlast(self.lease_seen_s + WINDOW_S)
        is_known = self.lease_seen_s > 0
        is_over = not is_known or now - self._absent_since >= wait
        return plan.is_candidate and is_over

    def _ripe_at(self, holding: Holding) -> dict[Identity, float]:
        """When each other owner's share may be taken, by own observation."""
        return {
            share.identity: self._seen[share.identity].first_at
            + outlast(share.lease_seconds + holding.hold_s)
            for share in self.ledger.shares
            if share.identity != self.identity and share.identity in self._seen
        }

    def _claim(
        self,
        now: float,
        plan: CapTerms,
        holding: Holding,
        *,
        is_leaving: bool,
    ) -> LeaseRenewal:
        lapsed = [
            identity
            for identity, ripe_at in self._ripe_at(holding).items()
            if now >= ripe_at
        ]
        return LeaseRenewal(
            identity=self.identity,
            generation=plan.generation,
            cap=plan.cap,
            lease_seconds=(
                _LEAVING_LEASE_S if is_leaving else plan.lease_seconds
            ),
            sequence=next(self._sequences),
            kept=holding.kept(now),
            lapsed=frozenset(lapsed),
            parts=plan.parts,
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
            self.lease_seen_s = max(self.lease_seen_s, own.lease_seconds)

    def _draw_identity(self) -> Identity:
        name, incarnation = self._member
        token = self._rng.getrandbits(_TOKEN_BITS)
        return (name, f'{incarnation}-{token:x}')

    def _operation(self) -> str:
        number = next(self._operations)
        return '-'.join((*self.identity, str(number)))

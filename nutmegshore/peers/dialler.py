"""Which links are missing, and when the next attempt is due."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.peers.membership import Membership
from nutmegshore.peers.message_router import MessageRouter
from nutmegshore.peers.topology import ring_position

__all__ = ('Dialler',)

_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 8
#: The higher name of a pair waits this long at first, so that the lower one
#: dials alone; it still dials if nothing comes. A member that boots does not
#: wait: the others may not know yet that it is back.
_COURTESY_S = 1
_LEAST_JITTER = 0.5
#: Listed instances without a record that are tried at once. One that answers
#: tells of all others, so that a boot of many does not link all with all.
_SEEDS_AT_ONCE = 3
#: A link that neither end wants any more is kept this long.
_UNWANTED_S = 10
#: Mean seconds between attempts to reach a dead member. Links to the other
#: side of a healed partition come up this way.
_DEAD_S = 1


@attrs.define
class _Attempt:
    due_at: float
    backoff_s: float = _FIRST_BACKOFF_S
    is_open: bool = False
    is_tried: bool = False


class Dialler:
    """Keeps the attempts per name, with jittered exponential backoff.

    `is_booting` holds from the start until all wanted members were tried and
    one of them was reached.
    """

    def __init__(
        self,
        membership: Membership,
        router: MessageRouter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Have nobody to dial yet."""
        self.seeds: dict[str, str] = {}
        self._membership = membership
        self._router = router
        self._clock = clock
        self._rng = rng
        self._by_name: dict[str, _Attempt] = {}
        self._unwanted: dict[str, float] = {}
        self._dead_at = float(0)
        self.is_booting = True

    @property
    def is_settled(self) -> bool:
        """Whether each wanted member is linked or was tried once."""
        return all(self._is_tried(name) for name in self._addresses())

    def end_boot(self) -> None:
        """Take the boot for ended, once there are links to all wanted."""
        if self._router.links and self.is_settled:
            self.is_booting = False

    def pop_due(self) -> dict[str, str]:
        """Addresses to dial now, by name; each counts as begun."""
        now = self._clock.now()
        addresses = self._addresses()
        due = {}
        for name in sorted(addresses):
            attempt = self._attempt(name, now)
            if not attempt.is_open and attempt.due_at <= now:
                due[name] = addresses[name]
        due.update(self._take_dead(now))
        for name in due:
            self._attempt(name, now).is_open = True
        return due

    def finish(self, name: str, *, is_linked: bool) -> None:
        """Note the end of an attempt or of the link that it gave."""
        now = self._clock.now()
        attempt = self._attempt(name, now)
        attempt.is_open = False
        attempt.is_tried = True
        if is_linked:
            attempt.backoff_s = _FIRST_BACKOFF_S
        attempt.due_at = now + attempt.backoff_s * self._jitter()
        attempt.backoff_s = min(2 * attempt.backoff_s, _MAX_BACKOFF_S)

    def pop_unwanted(self) -> list[str]:
        """Linked members that neither end has wanted for a while."""
        now = self._clock.now()
        topology = self._membership.topology
        local = self._membership.local_name
        wanted = topology.neighbours(local)
        unwanted = [
            name
            for name in self._router.links
            if name not in wanted and local not in topology.neighbours(name)
        ]
        self._unwanted = {
            name: self._unwanted.get(name, now) for name in unwanted
        }
        return [
            name
            for name, since in self._unwanted.items()
            if now - since > _UNWANTED_S
        ]

    def forget(self, name: str) -> None:
        """Dial a member anew without waiting: it came back."""
        attempt = self._by_name.get(name)
        if attempt is not None and not attempt.is_open:
            self._by_name.pop(name)

    def _attempt(self, name: str, now: float) -> _Attempt:
        attempt = self._by_name.get(name)
        if attempt is None:
            is_first = name > self._membership.local_name or self.is_booting
            wait = 0 if is_first else _COURTESY_S * self._jitter()
            attempt = _Attempt(now + wait)
            self._by_name[name] = attempt
        return attempt

    def _is_tried(self, name: str) -> bool:
        attempt = self._by_name.get(name)
        return attempt is not None and attempt.is_tried

    def _addresses(self) -> dict[str, str]:
        membership = self._membership
        local = membership.local_name
        # A seed that is dead by the records is left to `_take_dead`: the
        # platform's list goes on naming it.
        addresses = self._unknown_seeds()
        for name in membership.topology.neighbours(local):
            addresses[name] = membership.by_name[name].address
        for name in (*self._router.links, local):
            addresses.pop(name, None)
        return addresses

    def _unknown_seeds(self) -> dict[str, str]:
        unknown = {
            name: address
            for name, address in self.seeds.items()
            if name not in self._membership.by_name
        }
        # Each member has an order of its own, and who failed goes last, so
        # that a list that names many dead does not hide the living.
        ranked = sorted(unknown, key=self._seed_rank)
        return {name: unknown[name] for name in ranked[:_SEEDS_AT_ONCE]}

    def _seed_rank(self, name: str) -> tuple[float, int]:
        attempt = self._by_name.get(name)
        is_tried = attempt is not None and attempt.is_tried
        local = self._membership.local_name
        mixed = ring_position(f'{local}/{name}')
        return (attempt.due_at if is_tried else 0, mixed)

    def _take_dead(self, now: float) -> dict[str, str]:
        if now < self._dead_at:
            return {}
        self._dead_at = now + _DEAD_S * self._jitter()
        dead = [
            record
            for record in self._membership.dead()
            if record.member.name not in self._router.links
        ]
        if not dead:
            return {}
        record = self._rng.choice(dead)
        if self._attempt(record.member.name, now).is_open:
            return {}
        return {record.member.name: record.address}

    def _jitter(self) -> float:
        return _LEAST_JITTER + self._rng.random()

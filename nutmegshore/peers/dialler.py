"""Schedule of the attempts to open missing links."""

import random

import attrs

from nutmegshore.clock import Clock
from nutmegshore.peers.membership import Membership
from nutmegshore.peers.message_router import MessageRouter
from nutmegshore.peers.topology import ring_position

__all__ = ('Dialler',)

_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 8
#: The member with the higher name of a pair delays its first attempt by
#: this many seconds, so that only the lower one dials; it dials if no link
#: opens meanwhile. A booting member does not wait: the others may have no
#: record yet that it is back.
_HIGHER_NAME_DELAY_S = 1
_MIN_JITTER = 0.5
#: Listed instances without a record that are dialled at once. The first that
#: answers sends the records of all others, so that a boot of many members
#: does not link every pair.
_MAX_PARALLEL_SEEDS = 3
#: Seconds for which a link is kept that the topology of neither end wants.
_UNWANTED_LINK_S = 10
#: Mean seconds between attempts to reach a dead member. They restore the
#: links across a healed partition.
_DEAD_DIAL_INTERVAL_S = 1


@attrs.define
class _Attempt:
    due_at: float
    backoff_s: float = _FIRST_BACKOFF_S
    is_active: bool = False
    is_tried: bool = False


class Dialler:
    """Schedules attempts per name, with jittered exponential backoff.

    `is_booting` is true from the start until all wanted members were dialled
    and one of them was reached.
    """

    def __init__(
        self,
        membership: Membership,
        router: MessageRouter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without members to dial."""
        self.seeds: dict[str, str] = {}
        self._membership = membership
        self._router = router
        self._clock = clock
        self._rng = rng
        self._by_name: dict[str, _Attempt] = {}
        self._unwanted: dict[str, float] = {}
        self._next_dead_dial_at = float(0)
        self.is_booting = True

    @property
    def is_settled(self) -> bool:
        """Whether each wanted member is linked or was dialled once."""
        return all(self._is_tried(name) for name in self._addresses())

    def end_boot(self) -> None:
        """End the boot once a link is open and all wanted were dialled."""
        if self._router.links and self.is_settled:
            self.is_booting = False

    def pop_due(self) -> dict[str, str]:
        """Addresses to dial now, by name; marks each as active."""
        now = self._clock.now()
        addresses = self._addresses()
        due = {}
        for name in sorted(addresses):
            attempt = self._attempt(name, now)
            if not attempt.is_active and attempt.due_at <= now:
                due[name] = addresses[name]
        due.update(self._pick_dead(now))
        for name in due:
            self._attempt(name, now).is_active = True
        return due

    def finish(self, name: str, *, is_linked: bool) -> None:
        """Record the end of an attempt or of the link that it opened."""
        now = self._clock.now()
        attempt = self._attempt(name, now)
        attempt.is_active = False
        attempt.is_tried = True
        if is_linked:
            attempt.backoff_s = _FIRST_BACKOFF_S
        attempt.due_at = now + attempt.backoff_s * self._jitter()
        attempt.backoff_s = min(2 * attempt.backoff_s, _MAX_BACKOFF_S)

    def pop_unwanted(self) -> list[str]:
        """Linked members unwanted at both ends for `_UNWANTED_LINK_S`."""
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
            if now - since > _UNWANTED_LINK_S
        ]

    def reset_backoff(self, name: str) -> None:
        """Restart the schedule of a member that came back."""
        attempt = self._by_name.get(name)
        if attempt is not None and not attempt.is_active:
            self._by_name.pop(name)

    def _attempt(self, name: str, now: float) -> _Attempt:
        attempt = self._by_name.get(name)
        if attempt is None:
            is_first = name > self._membership.local_name or self.is_booting
            wait = 0 if is_first else _HIGHER_NAME_DELAY_S * self._jitter()
            attempt = _Attempt(now + wait)
            self._by_name[name] = attempt
        return attempt

    def _is_tried(self, name: str) -> bool:
        attempt = self._by_name.get(name)
        return attempt is not None and attempt.is_tried

    def _addresses(self) -> dict[str, str]:
        membership = self._membership
        local = membership.local_name
        # `_pick_dead` handles seeds that are recorded as dead: the
        # platform's list still contains them.
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
        # The order differs per member and puts failed seeds last, so that
        # many dead entries in the list do not hide the live ones.
        ranked = sorted(unknown, key=self._seed_rank)
        return {name: unknown[name] for name in ranked[:_MAX_PARALLEL_SEEDS]}

    def _seed_rank(self, name: str) -> tuple[float, int]:
        attempt = self._by_name.get(name)
        is_tried = attempt is not None and attempt.is_tried
        local = self._membership.local_name
        position = ring_position(f'{local}/{name}')
        return (attempt.due_at if is_tried else 0, position)

    def _pick_dead(self, now: float) -> dict[str, str]:
        if now < self._next_dead_dial_at:
            return {}
        self._next_dead_dial_at = now + _DEAD_DIAL_INTERVAL_S * self._jitter()
        dead = [
            record
            for record in self._membership.dead()
            if record.member.name not in self._router.links
        ]
        if not dead:
            return {}
        record = self._rng.choice(dead)
        if self._attempt(record.member.name, now).is_active:
            return {}
        return {record.member.name: record.address}

    def _jitter(self) -> float:
        return _MIN_JITTER + self._rng.random()

"""Leaving upstreams, and the pace of declared drains."""

import enum
import itertools
import math
from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.steering.plan import Origin

__all__ = ('DrainPacer', 'DrainProgress', 'DrainState', 'LeavingUpstreams')

#: Times that each departure is announced to the peers, against lost messages.
_ANNOUNCEMENTS = 3
#: Number of steps of a drain; each removes an equal part of the upstreams.
_STEPS = 4
#: Minimum time between two steps: four load messages, so that the free slots
#: of the other upstreams already reflect the previous step.
_STEP_INTERVAL_S = 1


class LeavingUpstreams:
    """Upstreams that are leaving, and the announcements still to be sent.

    An upstream leaves when it signals so or the platform lists it as leaving.
    It gets no new work until the platform lists it as live again or a newer
    generation of it is declared; an answer does not clear it.
    """

    def __init__(self) -> None:
        """Start without leaving upstreams."""
        self._unannounced: dict[str, int] = {}
        self._names: set[str] = set()

    def __contains__(self, name: str) -> bool:
        """Whether the upstream is leaving and accepts no new work."""
        return name in self._names

    def record(self, name: str, is_local: bool) -> bool:
        """Mark an upstream as leaving; True if it was not marked before.

        `is_local` marks a finding of this entry, which it announces.
        """
        if name in self._names:
            return False
        self._names.add(name)
        if is_local:
            self._unannounced[name] = _ANNOUNCEMENTS
        return True

    def clear(self, name: str) -> None:
        """Allow work on an upstream that is live again."""
        self._names.discard(name)
        self._unannounced.pop(name, None)

    def pop_unannounced(self) -> Iterable[str]:
        """Names to announce to the peers now; each is returned three times."""
        names = sorted(self._unannounced)
        for name in names:
            self._unannounced[name] -= 1
            if not self._unannounced[name]:
                self._unannounced.pop(name)
        return names


class DrainState(enum.Enum):
    """State of a declared drain."""

    MOVING = 'moving'
    HELD = 'held'
    DONE = 'done'


@attrs.frozen
class DrainProgress:
    """Status of one declared drain of a region or availability zone.

    `moved` and `total` count upstreams; the moved ones get no more work. For
    a held drain, `reason` names the service that lacks capacity,
    `needed_slots` counts its busy slots at the upstreams of the next step and
    `free_slots` its free slots elsewhere.
    """

    origin: Origin
    state: DrainState
    moved: int
    total: int
    reason: str = ''
    needed_slots: float = 0
    free_slots: float = 0


@attrs.define
class DrainPacer:
    """Paces the steps of one drain; `names` are in order of removal."""

    origin: Origin
    names: tuple[str, ...]
    clock: Clock
    moved: int = 0
    last_step_at: float = -math.inf
    held_reason: str = ''
    needed_slots: float = 0
    free_slots: float = 0

    @property
    def remaining(self) -> tuple[str, ...]:
        """Upstreams that the drain has not reached yet."""
        return tuple(itertools.islice(self.names, self.moved, None))

    def next_names(self) -> tuple[str, ...]:
        """Upstreams of the next step; empty until the step is due."""
        if self.clock.now() < self.last_step_at + _STEP_INTERVAL_S:
            return ()
        size = math.ceil(len(self.names) / _STEPS)
        return tuple(itertools.islice(self.remaining, size))

    def apply_step(self, names: tuple[str, ...]) -> None:
        """Remove the upstreams of a step."""
        self.moved += len(names)
        self.last_step_at = self.clock.now()
        self.held_reason = ''

    def hold(self, service: str, needed: float, free: float) -> None:
        """Hold the drain, as the load of the next step fits nowhere else."""
        self.held_reason = f'no headroom for service {service}'
        self.needed_slots = needed
        self.free_slots = free

    def progress(self) -> DrainProgress:
        """Status of the drain."""
        return DrainProgress(
            origin=self.origin,
            state=self._state(),
            moved=self.moved,
            total=len(self.names),
            reason=self.held_reason,
            needed_slots=self.needed_slots,
            free_slots=self.free_slots,
        )

    def _state(self) -> DrainState:
        if self.moved >= len(self.names):
            return DrainState.DONE
        return DrainState.HELD if self.held_reason else DrainState.MOVING

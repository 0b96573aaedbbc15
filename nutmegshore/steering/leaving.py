"""Upstreams that leave, and the pace of declared drains."""

import enum
import itertools
import math
from collections.abc import Iterable

import attrs

from nutmegshore.clock import Clock
from nutmegshore.steering.plan import Origin

__all__ = ('DrainPacer', 'DrainProgress', 'DrainState', 'LeavingUpstreams')

_TELL_TIMES = 3
#: Parts of the upstreams that one step of a drain takes out.
_STEPS = 4
#: Least time between two steps: four load messages, so that the load of the
#: step before is seen in the room of the rest.
_STEP_INTERVAL_S = 1


class LeavingUpstreams:
    """Upstreams that said or were listed to leave, and whom to tell.

    An upstream stays out until the platform lists it as live again or a newer
    generation of it is declared; an answer cannot bring it back.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._untold: dict[str, int] = {}
        self._names: set[str] = set()

    def __contains__(self, name: str) -> bool:
        """Whether the upstream takes no new work."""
        return name in self._names

    def record(self, name: str, is_own_finding: bool) -> bool:
        """Take an upstream out; True if that is new here."""
        if name in self._names:
            return False
        self._names.add(name)
        if is_own_finding:
            self._untold[name] = _TELL_TIMES
        return True

    def clear(self, name: str) -> None:
        """Let an upstream that came back get work again."""
        self._names.discard(name)
        self._untold.pop(name, None)

    def pop_unannounced(self) -> Iterable[str]:
        """Names to tell the peers now; each comes three times."""
        names = sorted(self._untold)
        for name in names:
            self._untold[name] -= 1
            if not self._untold[name]:
                self._untold.pop(name)
        return names


class DrainState(enum.Enum):
    """How far a declared drain is."""

    MOVING = 'moving'
    HELD = 'held'
    DONE = 'done'


@attrs.frozen
class DrainProgress:
    """Status of one declared drain of a region or availability zone.

    `moved` and `total` count upstreams. `needed_slots` are busy in the next
    step, `free_slots` is the room of the rest for the service that holds.
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
    """Steps of one drain; the names are in the order of their removal."""

    origin: Origin
    names: tuple[str, ...]
    clock: Clock
    moved: int = 0
    last_step_at: float = -math.inf
    held_reason: str = ''
    needed_slots: float = 0
    free_slots: float = 0

    @property
    def kept(self) -> tuple[str, ...]:
        """Upstreams that the drain has not reached yet."""
        return tuple(itertools.islice(self.names, self.moved, None))

    def next_names(self) -> tuple[str, ...]:
        """Upstreams of the next step; empty while it is not due."""
        if self.clock.now() < self.last_step_at + _STEP_INTERVAL_S:
            return ()
        size = math.ceil(len(self.names) / _STEPS)
        return tuple(itertools.islice(self.kept, size))

    def take_step(self, names: tuple[str, ...]) -> None:
        """Take the upstreams of a step out."""
        self.moved += len(names)
        self.last_step_at = self.clock.now()
        self.held_reason = ''

    def hold(self, service: str, needed: float, free: float) -> None:
        """Stay at this step, since the rest has no room for the next."""
        self.held_reason = f'no headroom for service {service}'
        self.needed_slots = needed
        self.free_slots = free

    def progress(self) -> DrainProgress:
        """Typed status."""
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

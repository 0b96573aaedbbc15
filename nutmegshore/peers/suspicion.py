"""Suspicions of members, and the rule that declares a member dead."""

from collections.abc import Collection

__all__ = ('SUSPICION_TIMEOUT_S', 'Suspicions')

#: Seconds in which a suspected member can refute.
SUSPICION_TIMEOUT_S = 3
#: Suspecting members required to declare a death, if that many are eligible.
_MIN_SUSPECTING_MEMBERS = 2


class Suspicions:
    """Members that suspect each member, with the local time of the start."""

    def __init__(self, local_name: str) -> None:
        """Start without suspicions."""
        self._local_name = local_name
        self._by_name: dict[str, dict[str, float]] = {}

    def add_suspicion(self, name: str, suspected_by: str, now: float) -> bool:
        """Record a suspicion; False if this member's is recorded already."""
        suspecting_members = self._by_name.setdefault(name, {})
        is_new = suspected_by not in suspecting_members
        suspecting_members.setdefault(suspected_by, now)
        return is_new

    def clear(self, name: str) -> None:
        """Drop the suspicions against a member that refuted them."""
        self._by_name.pop(name, None)

    def has_enough(self, name: str) -> bool:
        """Whether enough members suspect this one to declare it dead."""
        return len(self._by_name.get(name, ())) >= _MIN_SUSPECTING_MEMBERS

    def exclude_pause(self, seconds: float) -> None:
        """Extend the time to refute by the pause of this process."""
        for name, suspecting_members in self._by_name.items():
            self._by_name[name] = {
                suspected_by: since + seconds
                for suspected_by, since in suspecting_members.items()
            }

    def due(self, now: float, live: Collection[str]) -> list[str]:
        """Suspected members that did not refute in time."""
        return [name for name in self._by_name if self._is_due(name, now, live)]

    def _is_due(self, name: str, now: float, live: Collection[str]) -> bool:
        times = self._by_name[name].values()
        if not times or now - min(times) < SUSPICION_TIMEOUT_S:
            return False
        return len(times) >= min(
            _MIN_SUSPECTING_MEMBERS, self._count_eligible(name, live)
        )

    def _count_eligible(self, name: str, live: Collection[str]) -> int:
        # Members that the local one suspects are not expected to confirm: a
        # member that is cut off from all others decides alone.
        locally_suspected = {
            suspected
            for suspected, suspecting_members in self._by_name.items()
            if self._local_name in suspecting_members
        }
        return max(len(set(live) - locally_suspected - {name}), 1)

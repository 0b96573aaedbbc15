"""Suspicions against members, and the rule for a death."""

from collections.abc import Collection

__all__ = ('SUSPICION_S', 'Suspicions')

#: Seconds for which a suspected member can refute.
SUSPICION_S = 3
#: Accusers that a death needs, where there are that many.
_ACCUSERS = 2


class Suspicions:
    """Who suspects whom, and since when on the local clock."""

    def __init__(self, local_name: str) -> None:
        """Start without suspicions."""
        self._local_name = local_name
        self._by_name: dict[str, dict[str, float]] = {}

    def add_suspicion(self, name: str, suspected_by: str, now: float) -> bool:
        """Note a suspicion; False if the accuser is known already."""
        suspecting_members = self._by_name.setdefault(name, {})
        is_new = suspected_by not in suspecting_members
        suspecting_members.setdefault(suspected_by, now)
        return is_new

    def clear(self, name: str) -> None:
        """Drop the suspicions against a member that refuted them."""
        self._by_name.pop(name, None)

    def has_enough(self, name: str) -> bool:
        """Whether as many suspect a member as a death needs."""
        return len(self._by_name.get(name, ())) >= _ACCUSERS

    def discount(self, seconds: float) -> None:
        """Give the suspected the time in which this process was away."""
        for name, suspecting_members in self._by_name.items():
            self._by_name[name] = {
                suspected_by: since + seconds
                for suspected_by, since in suspecting_members.items()
            }

    def due(self, now: float, live: Collection[str]) -> list[str]:
        """Suspected members whose time to refute has passed."""
        return [name for name in self._by_name if self._is_due(name, now, live)]

    def _is_due(self, name: str, now: float, live: Collection[str]) -> bool:
        times = self._by_name[name].values()
        if not times or now - min(times) < SUSPICION_S:
            return False
        return len(times) >= min(_ACCUSERS, self._count_possible(name, live))

    def _count_possible(self, name: str, live: Collection[str]) -> int:
        # Those that this member suspects itself cannot be waited for: a
        # member that is cut off from all others is alone.
        own = {
            suspect
            for suspect, suspecting_members in self._by_name.items()
            if self._local_name in suspecting_members
        }
        return max(len(set(live) - own - {name}), 1)

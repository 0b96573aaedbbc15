"""Objects in the store that are not in force as they stand there."""

import enum
from collections.abc import Iterable

import attrs

__all__ = ('Problem', 'ProblemKind', 'Problems')

#: Reports of another watcher that is not heard of any more end after this.
_REPORT_KEPT_S = 30


class ProblemKind(enum.Enum):
    """Why the store and the configuration in force differ."""

    #: The object fails its checks.
    REJECTED = 'rejected'
    #: The object has a lower generation than the one in force.
    OLDER = 'older'
    #: The object has the generation of the one in force but is another one.
    CONFLICTING = 'conflicting'
    #: The object is gone without a tombstone.
    VANISHED = 'vanished'


@attrs.frozen
class Problem:
    """One object of the store that changed nothing, and why.

    What was in force before stays in force. An accepted write to the key
    settles the problem.
    """

    key: str
    kind: ProblemKind
    detail: str

    def to_fields(self) -> list[str]:
        """Fields in the order in which they travel."""
        return [self.key, self.kind.value, self.detail]


#: Time of a report and the problems in it.
_Report = tuple[float, list[Problem]]


class Problems:
    """Problems that this process sees, and those that watchers report."""

    def __init__(self) -> None:
        """Start without problems."""
        self.own: dict[str, Problem] = {}
        self._reported: dict[str, _Report] = {}

    def set_kind(self, key: str, kind: ProblemKind, detail: str) -> bool:
        """Note a problem of one's own; False if it is known."""
        problem = Problem(key, kind, detail)
        is_new = self.own.get(key) != problem
        self.own[key] = problem
        return is_new

    def clear(self, key: str) -> bool:
        """Note that a key is sound; False if it was."""
        return self.own.pop(key, None) is not None

    def handle_report(self, sender: str, raw: Iterable[object], now: float):
        """Keep what a watcher reports, in place of its earlier report."""
        read = [_read_problem(fields) for fields in raw]
        problems = [problem for problem in read if problem is not None]
        self._reported[sender] = (now, problems)

    def iter_all(self, now: float) -> list[Problem]:
        """All problems that hold now, in key order."""
        found = dict(self.own)
        for at, problems in self._reported.values():
            if now - at < _REPORT_KEPT_S:
                found.update({problem.key: problem for problem in problems})
        return [found[key] for key in sorted(found)]


def _read_problem(fields: object) -> Problem | None:
    try:
        key, kind, detail = fields
        return Problem(str(key), ProblemKind(kind), str(detail))
    except (TypeError, ValueError):
        return None

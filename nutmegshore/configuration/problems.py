"""Objects whose stored version is not the one in force."""

import enum
from collections.abc import Iterable

import attrs

__all__ = ('Problem', 'ProblemKind', 'Problems')

#: Reports expire after this time, since their watcher may be gone.
_REPORT_TTL_S = 30


class ProblemKind(enum.Enum):
    """Why the store and the configuration in force differ."""

    #: The object fails its checks.
    REJECTED = 'rejected'
    #: The object has a lower generation than the one in force.
    OLDER = 'older'
    #: The object has the generation of the one in force but differs from it.
    CONFLICTING = 'conflicting'
    #: The object was removed without a tombstone.
    VANISHED = 'vanished'


@attrs.frozen
class Problem:
    """An object of the store that was not applied, and the reason.

    The object in force stays in force. An accepted write to the key resolves
    the problem.
    """

    key: str
    kind: ProblemKind
    detail: str

    def to_fields(self) -> list[str]:
        """Fields in the order in which a `ProblemReport` contains them."""
        return [self.key, self.kind.value, self.detail]


#: Time of a report and the problems in it.
_Report = tuple[float, list[Problem]]


class Problems:
    """Problems found by this process and those reported by other watchers."""

    def __init__(self) -> None:
        """Start without problems."""
        self.local_problems: dict[str, Problem] = {}
        self._reported: dict[str, _Report] = {}

    def set_problem(self, key: str, kind: ProblemKind, detail: str) -> bool:
        """Record a problem found locally; False if it is already known."""
        problem = Problem(key, kind, detail)
        is_new = self.local_problems.get(key) != problem
        self.local_problems[key] = problem
        return is_new

    def clear(self, key: str) -> bool:
        """Remove the local problem of a key; False if there was none."""
        return self.local_problems.pop(key, None) is not None

    def handle_report(self, sender: str, raw: Iterable[object], now: float):
        """Replace the earlier report of a watcher."""
        parsed = [_parse_problem(fields) for fields in raw]
        problems = [problem for problem in parsed if problem is not None]
        self._reported[sender] = (now, problems)

    def iter_all(self, now: float) -> list[Problem]:
        """Current local and reported problems, in key order."""
        by_key = dict(self.local_problems)
        for reported_at, problems in self._reported.values():
            if now - reported_at < _REPORT_TTL_S:
                by_key.update({problem.key: problem for problem in problems})
        return [by_key[key] for key in sorted(by_key)]


def _parse_problem(fields: object) -> Problem | None:
    try:
        key, kind, detail = fields
        return Problem(str(key), ProblemKind(kind), str(detail))
    except (TypeError, ValueError):
        return None

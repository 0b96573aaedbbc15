"""What the fakes and the callers of a whole session record."""

import asyncio
import collections
import functools

import attrs

from bench.caps_fleet import Judge
from nutmegshore.errors import Outcome
from nutmegshore.resources import Envelope
from nutmegshore.upstreams import AnswerHead, AnswerReceiver

__all__ = ('CAP', 'Call', 'Ledgers', 'Receiver', 'Starts', 'now')

#: The cap of the shift that is declared first, in requests per second.
CAP = 6


def now() -> float:
    """True time of the session in seconds."""
    return asyncio.get_running_loop().time()


@attrs.define(eq=False)
class Call:
    """One request of a caller, and what it was answered."""

    request_id: str
    service: str
    key: str
    entry: str
    begun_at: float
    is_crashing: bool = False
    ended_at: float = float('inf')
    answer: str = ''
    heads: int = 0
    kind: str = ''
    outcome: Outcome | None = None


class Receiver(AnswerReceiver):
    def __init__(self, call: Call) -> None:
        self._call = call

    async def begin(self, head: AnswerHead) -> None:
        """Count the heads; a whole answer has one."""
        self._call.heads += 1

    async def receive(self, chunk: bytes) -> None:
        """Keep the answer."""
        self._call.answer += chunk.decode()


@attrs.define
class Ledgers:
    """What the fakes and the callers recorded, all in true time."""

    judge: Judge = attrs.field(factory=functools.partial(Judge, CAP))
    calls: list[Call] = attrs.field(factory=list)
    #: (time, entry, upstream, request id) of each request that left an entry.
    sends: list[tuple[float, str, str, str]] = attrs.field(factory=list)
    #: (time, upstream, request id) of each start in a slot.
    starts: list[tuple[float, str, str]] = attrs.field(factory=list)
    #: (time, run of an entry, key, generation) of each change of a table.
    merges: list[tuple[float, int, str, int]] = attrs.field(factory=list)
    #: (time, key) of each attempt to declare, whatever came of it.
    asked: list[tuple[float, str]] = attrs.field(factory=list)
    accepted: list[tuple[float, str, Envelope]] = attrs.field(factory=list)
    #: (entry or region, start, end) of pauses, cuts and starts.
    disturbed: list[tuple[str, float, float]] = attrs.field(factory=list)
    #: (entry, start, end) of each planned stop.
    stops: list[tuple[str, float, float]] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)


class Starts(collections.Counter):
    """The run counts of one upstream, with the time of each start."""

    def __init__(self, name: str, ledgers: Ledgers) -> None:
        super().__init__()
        self._name = name
        self._ledgers = ledgers

    def __setitem__(self, request_id: str, count: int) -> None:
        super().__setitem__(request_id, count)
        self._ledgers.starts.append((now(), self._name, request_id))

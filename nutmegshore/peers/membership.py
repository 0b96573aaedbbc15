"""Local table of the cluster's members."""

import enum
import random
from collections.abc import Iterable

import attrs

from nutmegshore.peers.base import PROCESS_BITS, Member, process_of
from nutmegshore.peers.suspicion import Suspicions
from nutmegshore.peers.topology import FULL_MESH_MEMBERS, Topology

__all__ = (
    'Membership',
    'MemberRecord',
    'State',
    'first_incarnation',
    'read_records',
)


class State(enum.IntEnum):
    """State of one incarnation; its value never decreases."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@attrs.frozen
class MemberRecord:
    """A member with its address and state, sent in a `MembershipUpdate`."""

    member: Member
    address: str
    state: State = State.ALIVE

    @property
    def rank(self) -> tuple[int, int, int]:
        """Merge order: every member keeps the record of the higher rank.

        Earlier versions pass records on without the capacity.
        """
        member = self.member
        return (member.incarnation, self.state, member.capacity)

    def to_fields(self) -> list[object]:
        """Fields in the order in which they are sent."""
        *place, capacity = attrs.astuple(self.member)
        return [*place, self.address, int(self.state), capacity]

    @classmethod
    def from_fields(cls, fields: list[object]) -> 'MemberRecord':
        """Read a record; raises ValueError if it is malformed."""
        known = fields[: len(_FIELD_TYPES)]
        pairs = zip(known, _FIELD_TYPES, strict=True)
        if not all(isinstance(field, expected) for field, expected in pairs):
            raise ValueError('malformed membership record')
        *place, address, state = known
        capacity = _read_capacity(fields)
        return cls(Member(*place, capacity), address, State(state))


_FIELD_TYPES = (str, str, str, int, str, int)


def _read_capacity(fields: list[object]) -> int:
    """Return the capacity, which earlier versions do not send."""
    index = len(_FIELD_TYPES)
    if len(fields) > index and isinstance(fields[index], int):
        return fields[index]
    return 0


def first_incarnation(rng: random.Random) -> int:
    """Incarnation of a process without a record of earlier ones.

    The low bits are random, so that two processes of one name differ even if
    neither has a record of the other. The counter starts at 1; a member with
    a record of a higher one gossips it, and `Membership.merge` raises the
    counter above it.
    """
    return 2**PROCESS_BITS + rng.getrandbits(PROCESS_BITS)


class Membership:
    """Records by name, with the suspicions against them.

    The merge keeps the record of the higher (incarnation, state), so that
    updates may arrive in any order and from any member.
    """

    def __init__(self, local: MemberRecord, full_mesh: int = FULL_MESH_MEMBERS):
        """Start with the record of the local member only."""
        self.local_name = local.member.name
        self.by_name = {self.local_name: local}
        self._full_mesh = full_mesh
        self.suspicions = Suspicions(self.local_name)
        self._live: dict[str, Member] = {}
        self._topology: Topology | None = None
        self._refresh()

    @property
    def local(self) -> MemberRecord:
        """The local member's record."""
        return self.by_name[self.local_name]

    @property
    def topology(self) -> Topology:
        """Wanted links among the live members."""
        if self._topology is None:
            self._topology = Topology(self._live.values(), self._full_mesh)
        return self._topology

    def live(self) -> dict[str, Member]:
        """Members that are not dead, by name."""
        return self._live

    def serving(self) -> dict[str, Member]:
        """Members that are neither dead nor leaving, by name."""
        return {
            name: record.member
            for name, record in sorted(self.by_name.items())
            if record.state is State.ALIVE
        }

    def dead(self) -> list[MemberRecord]:
        """Records of dead members, sorted by name."""
        return [
            record
            for _, record in sorted(self.by_name.items())
            if record.state is State.DEAD
        ]

    def merge(self, record: MemberRecord) -> bool:
        """Store a newer record; one of the local member is refuted.

        Returns whether the table changed.
        """
        name = record.member.name
        present = self.by_name.get(name)
        if present is not None and record.rank <= present.rank:
            return False
        if name == self.local_name:
            record = self._raise_incarnation(record.member.incarnation)
        self._store(record)
        return True

    def refute(self, incarnation: int) -> bool:
        """Refute a suspicion of the local member; False if it is outdated."""
        if incarnation < self.local.member.incarnation:
            return False
        self._store(self._raise_incarnation(incarnation))
        return True

    def change_state(self, name: str, state: State) -> None:
        """Set the state of a member's current incarnation."""
        self._store(attrs.evolve(self.by_name[name], state=state))

    def _raise_incarnation(self, incarnation: int) -> MemberRecord:
        local = self.local
        counter = (incarnation >> PROCESS_BITS) + 1
        process = process_of(local.member.incarnation)
        raised = (counter << PROCESS_BITS) + process
        member = attrs.evolve(local.member, incarnation=raised)
        return attrs.evolve(local, member=member)

    def _store(self, record: MemberRecord) -> None:
        name = record.member.name
        present = self.by_name.get(name)
        self.by_name[name] = record
        is_same = present is not None and (
            present.member.incarnation == record.member.incarnation
        )
        if not is_same or record.state is State.DEAD:
            self.suspicions.clear(name)
        self._refresh()

    def _refresh(self) -> None:
        self._topology = None
        self._live = {
            name: record.member
            for name, record in sorted(self.by_name.items())
            if record.state is not State.DEAD
        }


def read_records(fields: Iterable[list[object]]) -> list[MemberRecord]:
    """Read a `MembershipUpdate`'s records and skip malformed ones."""
    read = (_read_record(one) for one in fields)
    return [record for record in read if record is not None]


def _read_record(fields: list[object]) -> MemberRecord | None:
    try:
        return MemberRecord.from_fields(fields)
    except (TypeError, ValueError):
        return None

"""Gossip of membership records and suspicions."""

from collections.abc import Callable

from nutmegshore.peers.base import Member
from nutmegshore.peers.components import MeshComponents
from nutmegshore.peers.link import Link
from nutmegshore.peers.membership import MemberRecord, State, read_records
from nutmegshore.peers.messages import Hello, MembershipUpdate, Suspect

__all__ = ('MembershipGossip',)

#: Seconds for which changed records are collected into one message.
_GOSSIP_DELAY_S = 0.05


class MembershipGossip:
    """Merges received records and forwards those that were new.

    A record is forwarded over every link only if it changed the local table,
    so that gossip ends once all members have the record.
    """

    def __init__(
        self,
        components: MeshComponents,
        on_local_change: Callable[[Member], None],
    ) -> None:
        """Call `on_local_change` when the local member's record changes."""
        self._components = components
        self._membership = components.membership
        self._counters = components.counters
        self._on_local_change = on_local_change
        self._pending: set[str] = set()

    def send_full_state(self, link: Link, hello: Hello) -> None:
        """Merge the member of a new link's hello, and send all records."""
        known = self._membership.by_name.get(hello.name)
        member = Member(
            hello.name,
            hello.region,
            hello.availability_zone,
            hello.incarnation,
            known.member.capacity if known else 0,
        )
        self._merge(MemberRecord(member, hello.address))
        records = self._membership.by_name.values()
        link.send(MembershipUpdate([record.to_fields() for record in records]))

    def handle_update(self, sender: str, update: MembershipUpdate) -> None:
        """Merge records that a neighbour sent."""
        for record in read_records(update.records):
            self._merge(record)

    def handle_suspicion(self, sender: str, suspect: Suspect) -> None:
        """Record a suspicion, or refute one of the local member."""
        name = suspect.name
        if name == self._membership.local_name:
            if self._membership.refute(suspect.incarnation):
                self._counters.add('refutations')
                self._propagate(name)
            return
        record = self._membership.by_name.get(name)
        if record is None or record.state is State.DEAD:
            return
        if record.member.incarnation == suspect.incarnation:
            now = self._components.clock.now()
            self._membership.suspicions.add_suspicion(
                name, suspect.suspected_by, now
            )

    def suspect(self, name: str) -> None:
        """Broadcast a suspicion of the local member."""
        suspicion = self._components.prober.make_suspicion(name)
        if suspicion is not None:
            self._counters.add('suspicions')
            self._components.router.broadcast(suspicion)

    def declare_deaths(self) -> None:
        """Declare members dead that did not refute in time."""
        now = self._components.clock.now()
        live = self._membership.live()
        for name in self._membership.suspicions.due(now, live):
            self._counters.add('deaths_declared')
            self._membership.change_state(name, State.DEAD)
            self._propagate(name)

    def announce(self, name: str) -> None:
        """Queue a member's record for the next message to all neighbours."""
        if not self._pending:
            self._components.tasks.spawn(self._send())
        self._pending.add(name)

    def _merge(self, record: MemberRecord) -> None:
        name = record.member.name
        if self._membership.merge(record):
            self._propagate(name)
        elif self._membership.by_name[name].rank > record.rank:
            # The sender's record is older, such as that of a restarted process
            # without a record of its predecessor.
            self.announce(name)

    def _propagate(self, name: str) -> None:
        record = self._membership.by_name[name]
        if name == self._membership.local_name:
            self._on_local_change(record.member)
        if record.state is State.DEAD:
            self._close_link(name)
        else:
            self._components.dialler.reset_backoff(name)
        self.announce(name)

    def _close_link(self, name: str) -> None:
        link = self._components.router.links.get(name)
        if link is not None:
            link.close()

    async def _send(self) -> None:
        await self._components.clock.sleep(_GOSSIP_DELAY_S)
        by_name = self._membership.by_name
        records = [by_name[name].to_fields() for name in sorted(self._pending)]
        self._pending.clear()
        self._components.router.send_direct(MembershipUpdate(records))

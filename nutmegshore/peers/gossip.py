"""Spread of membership records and suspicions."""

from collections.abc import Callable

from nutmegshore.peers.base import Member
from nutmegshore.peers.components import MeshComponents
from nutmegshore.peers.link import Link
from nutmegshore.peers.membership import MemberRecord, State, read_records
from nutmegshore.peers.messages import Hello, MembershipUpdate, Suspect

__all__ = ('MembershipGossip',)

#: Records that change within this time travel in one message.
_NEWS_DELAY_S = 0.05


class MembershipGossip:
    """Merges what others tell and tells on what was new.

    A record goes on over every link only where it changed the local table,
    so that news end by themselves when all have them.
    """

    def __init__(
        self,
        components: MeshComponents,
        take_local: Callable[[Member], None],
    ) -> None:
        """Call the function when the local member's record changes."""
        self._components = components
        self._membership = components.membership
        self._counters = components.counters
        self._take_local = take_local
        self._pending: set[str] = set()

    def send_full_state(self, link: Link, hello: Hello) -> None:
        """Merge what a new link's hello says, and send all records."""
        member = Member(
            hello.name,
            hello.region,
            hello.availability_zone,
            hello.incarnation,
        )
        self._merge(MemberRecord(member, hello.address))
        records = self._membership.by_name.values()
        link.send(MembershipUpdate([record.to_fields() for record in records]))

    def handle_update(self, sender: str, news: MembershipUpdate) -> None:
        """Merge records that a neighbour sent."""
        for record in read_records(news.records):
            self._merge(record)

    def handle_suspicion(self, sender: str, suspect: Suspect) -> None:
        """Note a suspicion, or refute one against the local member."""
        name = suspect.name
        if name == self._membership.local_name:
            if self._membership.refute(suspect.incarnation):
                self._counters.add('refutations')
                self._after_change(name)
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
        """Tell the others of a suspicion of one's own."""
        suspicion = self._components.prober.make_suspicion(name)
        if suspicion is not None:
            self._counters.add('suspicions')
            self._components.router.broadcast(suspicion)

    def declare_deaths(self) -> None:
        """Declare those dead whose time to refute has passed."""
        now = self._components.clock.now()
        live = self._membership.live()
        for name in self._membership.suspicions.due(now, live):
            self._counters.add('deaths_declared')
            self._membership.change_state(name, State.DEAD)
            self._after_change(name)

    def announce(self, name: str) -> None:
        """Send a member's record to all neighbours soon."""
        if not self._pending:
            self._components.tasks.spawn(self._send())
        self._pending.add(name)

    def _merge(self, record: MemberRecord) -> None:
        name = record.member.name
        if self._membership.merge(record):
            self._after_change(name)
        elif self._membership.by_name[name].rank > record.rank:
            # Whoever sent this knows less, as a restarted process does of
            # the earlier one under its name.
            self.announce(name)

    def _after_change(self, name: str) -> None:
        record = self._membership.by_name[name]
        if name == self._membership.local_name:
            self._take_local(record.member)
        if record.state is State.DEAD:
            self._close_link(name)
        else:
            self._components.dialler.forget(name)
        self.announce(name)

    def _close_link(self, name: str) -> None:
        link = self._components.router.links.get(name)
        if link is not None:
            link.close()

    async def _send(self) -> None:
        await self._components.clock.sleep(_NEWS_DELAY_S)
        by_name = self._membership.by_name
        records = [by_name[name].to_fields() for name in sorted(self._pending)]
        self._pending.clear()
        self._components.router.send_direct(MembershipUpdate(records))

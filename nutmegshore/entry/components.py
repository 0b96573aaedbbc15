"""The components of an entry behind its listeners."""

import asyncio

from nutmegshore.callers import (
    ForwardHooks,
    CallerForwarder,
    LookupAnswer,
    LookupLedger,
    check_service,
    lookup_entries,
)
from nutmegshore.caps import Caps
from nutmegshore.configuration import ConfigurationFollower, ConfigurationTable
from nutmegshore.entry.caps_gate import CapsGate
from nutmegshore.entry.dependencies import EntryDependencies, EntryOptions
from nutmegshore.entry.keyed_records import KeyedRecords
from nutmegshore.entry.malformed_answers import MalformedAnswers
from nutmegshore.entry.overload import OverloadWatch
from nutmegshore.entry.quarantine_gate import QuarantineGate
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.faults import Faults
from nutmegshore.once import OnceRecords, RecordSweep
from nutmegshore.quarantine import Quarantine
from nutmegshore.resources import Entry
from nutmegshore.steering import Steering, SteeringDependencies
from nutmegshore.upstreams import UpstreamReport

__all__ = ('EntryComponents',)

_RECORD_FLUSH_S = 5
#: Name of this part in reports of faults.
_PART = 'entry'


class EntryComponents:
    """Everything in an entry except its listeners.

    The same components run behind real listeners and in virtual time:

        components = EntryComponents(dependencies)
        await components.start()
        await components.forwarder.forward(request, receiver)
        components.leave()
        await components.stop()
    """

    def __init__(
        self,
        dependencies: EntryDependencies,
        options: EntryOptions | None = None,
    ) -> None:
        """Build the components; nothing runs before `start`."""
        self.dependencies = dependencies
        self._faults = Faults(dependencies.counters)
        self._options = options or EntryOptions()
        self.table = ConfigurationTable()
        self._is_leaving = False
        malformed_answers = MalformedAnswers(dependencies.counters)
        dependencies.upstreams.on_malformed = malformed_answers.record
        dependencies.platform.on_malformed = malformed_answers.record_platform
        self._build_shared_state(dependencies)
        self._build_request_path(dependencies)

    @property
    def local_name(self) -> str:
        """Name of this entry."""
        return self.dependencies.peers.local.name

    @property
    def lookup_lifetime_s(self) -> float:
        """Time for which callers may use a look-up answer, in seconds."""
        return self._options.lookup_lifetime_s

    async def start(self) -> None:
        """Start following the configuration and start all tasks."""
        self.follower.start()
        self._sweep.start()
        self._overload.start()
        await self.caps.start()
        await self.steering.start()

    def leave(self) -> None:
        """Withdraw from look-up answers, here and at the peers."""
        self._is_leaving = True
        with self._faults.contain(_PART):
            self.dependencies.peers.leave()

    async def stop(self) -> None:
        """Stop all tasks after the last request has ended."""
        await self.forwarder.drain()
        await self.steering.stop()
        await self.caps.stop()
        await self._records.stop(_RECORD_FLUSH_S)
        await asyncio.gather(self._sweep.stop(), self._overload.stop())
        await self.follower.stop()

    def lookup(self, service: str) -> LookupAnswer:
        """Return the entries a caller should use, or raise `RequestError`."""
        self.check_ready()
        check_service(self.table, service)
        answer = lookup_entries(
            self.table,
            self.dependencies.peers.local.region,
            self.lookup_lifetime_s,
            self._unusable_entries(),
            self.dependencies.rng,
        )
        return self.ledger.record(answer)

    def check_ready(self) -> None:
        """Raise `RequestError` until a configuration is loaded."""
        if not self.follower.is_ready:
            raise RequestError(ErrorKind.NOT_READY, self.local_name)

    def record_report(
        self,
        name: str,
        report: UpstreamReport,
    ) -> None:
        """Record the leaving state and load that an upstream reported."""
        with self._faults.contain(_PART):
            if report.is_leaving:
                self.steering.record_leaving(name)
            if report.busy is not None:
                self.steering.record_report(name, report.busy)

    def _build_shared_state(self, dependencies: EntryDependencies) -> None:
        """Build the components that share state with other entries."""
        context = (dependencies.clock, dependencies.rng, dependencies.counters)
        self.follower = ConfigurationFollower(
            self.table,
            dependencies.platform,
            dependencies.peers,
            context,
        )
        self.caps = Caps(
            self.table,
            dependencies.platform,
            dependencies.peers,
            *context,
        )
        shared = (dependencies.platform, dependencies.peers, dependencies.clock)
        self._records = OnceRecords(
            *shared, dependencies.counters, dependencies.rng
        )
        self._sweep = RecordSweep(*shared, dependencies.counters)
        self._overload = OverloadWatch(
            dependencies.peers,
            dependencies.clock,
            dependencies.counters,
        )
        self.quarantine = Quarantine(
            dependencies.peers,
            dependencies.clock,
            dependencies.counters,
            self._usable_upstreams,
            self._is_loss_explained,
        )

    def _build_request_path(self, dependencies: EntryDependencies) -> None:
        """Build the components that handle a request."""
        local = dependencies.peers.local
        self.steering = Steering(
            self.table,
            local.region,
            dependencies.rng,
            SteeringDependencies(
                clock=dependencies.clock,
                counters=dependencies.counters,
                peers=dependencies.peers,
                gate=CapsGate(self.caps),
                availability_zone=local.availability_zone,
            ),
        )
        self.ledger = LookupLedger(dependencies.clock)
        self.forwarder = CallerForwarder(
            self.steering,
            dependencies.upstreams,
            dependencies.clock,
            dependencies.counters,
            ForwardHooks(
                gate=QuarantineGate(self.quarantine),
                records=KeyedRecords(self._records),
                check_ready=self.check_ready,
            ),
        )

    def _unusable_entries(self) -> set[str]:
        """Declared entries that are dead, leaving or overloaded."""
        declared = set(self.table.by_name(Entry))
        serving = set(self.dependencies.peers.serving())
        if self._is_leaving:
            serving.discard(self.local_name)
        usable = serving - self._overload.overloaded()
        # If all are overloaded, an overloaded entry is better than none.
        return declared - (usable & declared or serving)

    def _usable_upstreams(self, service: str) -> set[str]:
        choices = self.steering.plan.choices.get(service, ())
        leaving = self.steering.components.leaving
        return {
            name
            for choice in choices
            for name in choice.upstreams
            if name not in leaving
        }

    def _is_loss_explained(self, upstream: str) -> bool:
        is_drained = upstream in self.steering.plan.drained
        return is_drained or upstream in self.steering.components.leaving

"""What a gateway knows of upstreams that are cold, or may be."""

import enum
import math
from collections.abc import Callable, Iterator

import attrs

from nutmegshore.clock import Clock
from nutmegshore.gateway.recent_contacts import RecentContacts
from nutmegshore.gateway.recent_sends import RecentSends
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('ColdSource', 'ColdStarts', 'ColdStatement')

#: Seconds by which a statement of a peer may look newer than it is.
_MAX_TRANSIT_S = 1
#: Seconds for which an upstream that a peer has reached counts as reachable.
_REACHED_S = 5
#: Seconds for which a statement is passed on, once it is settled.
_TOLD_S = 3


class ColdSource(enum.Enum):
    """What a statement is based on."""

    REGISTRATION = 'registration'
    EVACUATION = 'evacuation'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    ANSWER = 'answer'
    SURVIVED = 'survived'
    HEALTH = 'health'
    PEER = 'peer'


@attrs.frozen
class ColdStatement:
    """The latest that is known about the start of an upstream.

    `stated_at` and `warm_at` are readings of the gateway's clock. `warm_at` is
    infinite while the upstream may have started again and nothing has been
    heard of it since; `fallback_at` is then the time at which it is warm if it
    has not started again. A private one is not passed on.
    """

    upstream: RegisteredUpstream
    stated_at: float
    warm_at: float
    source: ColdSource
    fallback_at: float = float('-inf')
    is_private: bool = False

    @property
    def is_own(self) -> bool:
        """Whether this gateway found it out itself."""
        return self.source is not ColdSource.PEER

    @property
    def is_own_failure(self) -> bool:
        """Whether this gateway failed to reach it, and has not since."""
        return self.is_open and self.is_own

    @property
    def is_presumed(self) -> bool:
        """Whether the upstream itself has not been heard."""
        return self.is_open or self.source is ColdSource.EVACUATION

    @property
    def is_open(self) -> bool:
        """Whether nothing tells yet how long the upstream stays cold."""
        return math.isinf(self.warm_at)


class ColdStarts:
    """Tells which upstreams are cold, or may be.

    An upstream may start again under its id, and its registration may say so
    seconds later. One that could not be reached, or broke off, therefore counts
    as cold until something newer is heard of it: its new registration, its
    health page, an answer, or a peer that has heard of it.

        cold_starts.handle_failure(upstream, ColdSource.UNREACHABLE)
        cold_starts.left_s('u1')  # infinite
        cold_starts.handle_health(upstream, cold_left_s=1.5, asked_at=now)
        cold_starts.left_s('u1')  # 1.5

    `on_change` is called with each statement that makes an upstream cold, or
    that says when a cold one is warm.
    """

    def __init__(self, clock: Clock, cold_s: Callable[[str], float]) -> None:
        """Start without statements; `cold_s` is the cold time of a service."""
        self.on_change: Callable[[ColdStatement], None] | None = None
        self.sends = RecentSends(clock)
        self._contacts = RecentContacts(clock)
        self._clock = clock
        self._cold_s = cold_s
        self._by_id: dict[str, ColdStatement] = {}

    def left_s(self, instance: str) -> float:
        """Return the seconds for which an upstream stays cold, or 0."""
        statement = self._by_id.get(instance)
        if statement is None:
            return 0
        return max(statement.warm_at - self._clock.now(), 0)

    def iter_news(self) -> Iterator[ColdStatement]:
        """Yield what other gateways may not know yet."""
        oldest = self._clock.now() - _TOLD_S
        for statement in self._by_id.values():
            is_new = not statement.is_presumed and statement.stated_at >= oldest
            if (statement.is_open or is_new) and not statement.is_private:
                yield statement

    def iter_unsettled(self) -> Iterator[ColdStatement]:
        """Yield the statements that the upstream itself can settle."""
        now = self._clock.now()
        for statement in self._by_id.values():
            if statement.is_presumed and statement.warm_at > now:
                yield statement

    def forget(self, instance: str) -> None:
        """Drop a removed upstream."""
        self._by_id.pop(instance, None)
        self.sends.forget(instance)

    def register(self, upstream: RegisteredUpstream) -> None:
        """Handle the registration of an upstream."""
        known = self._by_id.get(upstream.instance)
        is_same = known is not None and _is_same(known.upstream, upstream)
        if not is_same:
            self._by_id.pop(upstream.instance, None)
        if not upstream.cold_left_s:
            return
        if is_same and known.is_open:
            # It may have started again since it wrote this.
            return
        left_s = upstream.cold_left_s
        self._settle(upstream, left_s, ColdSource.REGISTRATION)

    def handle_return(self, upstream: RegisteredUpstream) -> None:
        """Handle that the zone of an upstream is taken back.

        Its upstreams may have become cold shortly before, and all gateways
        send to them again at the same moment.
        """
        left_s = self._cold_s(upstream.service)
        if left_s > self.left_s(upstream.instance):
            self._settle(upstream, left_s, ColdSource.EVACUATION)

    def handle_failure(
        self, upstream: RegisteredUpstream, source: ColdSource
    ) -> None:
        """Handle an attempt that could not reach an upstream, or broke off.

        Only the first of several counts. It is not passed on if a peer has
        reached the upstream lately, or if much else fails: a gateway whose own
        path is broken must not hold upstreams back that others reach.
        """
        self._contacts.record_failure()
        known = self._known(upstream)
        if known is not None and known.is_own_failure:
            return
        if not self._cold_s(upstream.service):
            return
        fallback_at = float('-inf')
        if known is not None:
            fallback_at = known.fallback_at if known.is_open else known.warm_at
        self._put(
            ColdStatement(
                upstream,
                self._clock.now(),
                math.inf,
                source,
                fallback_at,
                is_private=self._contacts.is_path_suspect
                or self._was_reached(known),
            )
        )

    def handle_answer(
        self, upstream: RegisteredUpstream, sent_at: float
    ) -> None:
        """Handle an answer to a request that was sent at `sent_at`.

        An upstream that answers what it got before it was unreachable has not
        started again. Any other answer limits the time of its start.
        """
        self._contacts.record_answer()
        known = self._known(upstream)
        if known is None or not known.is_open:
            return
        if sent_at >= known.stated_at:
            left_s = self._cold_s(upstream.service)
            self._settle(upstream, left_s, ColdSource.ANSWER)
            return
        margin_s = 0 if known.is_own else _MAX_TRANSIT_S
        if sent_at < known.stated_at - margin_s:
            left_s = max(known.fallback_at - self._clock.now(), 0)
            self._settle(upstream, left_s, ColdSource.SURVIVED)

    def handle_health(
        self, upstream: RegisteredUpstream, cold_left_s: float, asked_at: float
    ) -> None:
        """Handle what the health page of an upstream said.

        It was asked at `asked_at`, and may have been unreachable since.
        """
        known = self._known(upstream)
        if known is None or asked_at >= known.stated_at:
            self._settle(upstream, cold_left_s, ColdSource.HEALTH)

    def handle_peer(self, statement: ColdStatement) -> None:
        """Handle what a peer knows of a registered upstream."""
        known = self._known(statement.upstream)
        if known is None:
            self._put(statement)
            return
        newer_s = statement.stated_at - known.stated_at
        is_settled = known.is_presumed and not statement.is_open
        is_later = newer_s > _MAX_TRANSIT_S and not known.is_own_failure
        if is_later or (is_settled and newer_s > 0):
            self._put(statement)

    def _was_reached(self, known: ColdStatement | None) -> bool:
        """Return whether a peer has reached an upstream lately."""
        if known is None or known.is_own or known.is_open:
            return False
        return self._clock.now() - known.stated_at < _REACHED_S

    def _known(self, upstream: RegisteredUpstream) -> ColdStatement | None:
        known = self._by_id.get(upstream.instance)
        if known is not None and _is_same(known.upstream, upstream):
            return known
        return None

    def _settle(
        self, upstream: RegisteredUpstream, left_s: float, source: ColdSource
    ) -> None:
        now = self._clock.now()
        self._put(ColdStatement(upstream, now, now + left_s, source))

    def _put(self, statement: ColdStatement) -> None:
        instance = statement.upstream.instance
        known = self._by_id.get(instance)
        was_cold = self.left_s(instance) > 0
        was_open = known is not None and known.is_open
        self._by_id[instance] = statement
        is_cold = self.left_s(instance) > 0
        is_changed = was_cold != is_cold or was_open != statement.is_open
        if is_changed and self.on_change is not None:
            self.on_change(statement)


def _is_same(one: RegisteredUpstream, other: RegisteredUpstream) -> bool:
    return one.identity == other.identity

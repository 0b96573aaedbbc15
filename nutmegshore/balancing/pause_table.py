"""Pauses that upstreams ask for in their answers."""

import enum
import random
from collections.abc import Callable

import attrs

from nutmegshore.balancing.outcome import AttemptOutcome
from nutmegshore.clock import Clock
from nutmegshore.gateway.registered_upstream import RegisteredUpstream

__all__ = ('Pause', 'PauseChange', 'PauseStep', 'PauseTable', 'Trial')

#: The gateways that were told the same time begin again within this many
#: seconds for each of them, and within at most `_MAX_SPREAD_S`.
_SPREAD_PER_GATEWAY_S = 0.05
_MAX_SPREAD_S = 2
#: A trial without an answer makes room for the next one after these seconds.
_TRIAL_S = 1
#: A longer pause is reported once its end has moved by this many seconds: each
#: of several requests in flight may be answered with the same pause.
_REPORTED_MOVE_S = 1
#: Seconds for which the pause of an upstream that is gone is kept, since its
#: registration may return while the same process goes on running.
_GONE_TTL_S = 60


class PauseStep(enum.Enum):
    """What happened to a pause; `GONE` means that its upstream is gone."""

    BEGUN = 'begun'
    EXTENDED = 'extended'
    ENDED = 'ended'
    GONE = 'gone'


@attrs.frozen
class PauseChange:
    """A pause began, was extended or ended; `left_s` is the rest of it."""

    instance: str
    service: str
    step: PauseStep
    left_s: float


@attrs.define(eq=False)
class Pause:
    """The pause of one incarnation of an upstream.

    The upstream wants no request before `until`; this gateway sends the first
    one `offset_s` later. `trial_at` is when a request was sent after the pause
    whose answer is not there yet. Times are readings of the gateway's clock.
    """

    upstream: RegisteredUpstream
    until: float
    offset_s: float
    reported_until: float
    trial_at: float | None = None
    gone_at: float | None = None

    def is_of(self, upstream: RegisteredUpstream) -> bool:
        """Return whether the pause holds for this incarnation."""
        return self.upstream.identity == upstream.identity

    def opens_at(self) -> float:
        """Return when the next request may be sent."""
        begins_at = self.until + self.offset_s
        if self.trial_at is None:
            return begins_at
        return max(begins_at, self.trial_at + _TRIAL_S)


@attrs.frozen
class Trial:
    """A request sent at `sent_at` whose answer may end a pause."""

    pause: Pause
    sent_at: float


class PauseTable:
    """The pauses in force, by upstream.

    A pause begins when the answer that asks for it arrives. Each such answer
    holds, so that the later end counts, and other answers do not end it. After
    the end the gateways begin one after the other, each with a single trial
    whose answer opens the upstream for the rest. A trial that takes long makes
    room for another one.

        table.begin(upstream, 2.5)
        table.left_s(upstream)  # 2.5 and up to 2 s more
        trial = table.start_trial(upstream)
        table.end_trial(trial, AttemptOutcome.ANSWERED)

    Upstreams that are passed in are registered. A pause holds for one
    incarnation of its upstream. `on_change` is called when a pause begins,
    grows or ends.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        count_gateways: Callable[[], int],
    ) -> None:
        """Spread the ends by `rng` over the gateways that are counted."""
        self.on_change: Callable[[PauseChange], None] | None = None
        self._by_id: dict[str, Pause] = {}
        self._clock = clock
        self._rng = rng
        self._count_gateways = count_gateways

    def begin(self, upstream: RegisteredUpstream, seconds: float) -> None:
        """Send an upstream nothing for some seconds from now on."""
        now = self._clock.now()
        until = now + seconds
        found = self._find(upstream)
        if found is None:
            self._drop_gone()
            pause = Pause(upstream, until, self._draw_offset_s(), until)
            self._by_id[upstream.instance] = pause
            self._report(pause, PauseStep.BEGUN)
        elif until > found.until:
            self._extend(found, until)

    def is_paused(self, upstream: RegisteredUpstream) -> bool:
        """Return whether an upstream gets no request now."""
        return self.left_s(upstream) > 0

    def is_asked(self, upstream: RegisteredUpstream) -> bool:
        """Return whether the time that an upstream asked for goes on."""
        found = self._find(upstream)
        return found is not None and found.until > self._clock.now()

    def is_on_trial(self, upstream: RegisteredUpstream) -> bool:
        """Return whether the next request to an upstream is a trial."""
        return self._find(upstream) is not None

    def left_s(self, upstream: RegisteredUpstream) -> float:
        """Return the seconds until a request may be sent, or 0."""
        found = self._find(upstream)
        if found is None:
            return 0
        return max(found.opens_at() - self._clock.now(), 0)

    def start_trial(self, upstream: RegisteredUpstream) -> Trial | None:
        """Note that a request is sent; None if the upstream has no pause."""
        found = self._find(upstream)
        if found is None:
            return None
        found.trial_at = self._clock.now()
        return Trial(found, found.trial_at)

    def end_trial(self, trial: Trial, outcome: AttemptOutcome) -> None:
        """Record how a trial ended.

        An answer ends the pause, unless the upstream has asked for a new one
        since. After all else the next request is the next trial.
        """
        pause = trial.pause
        name = pause.upstream.instance
        is_outdated = trial.sent_at < pause.until
        if self._by_id.get(name) is not pause or is_outdated:
            return
        if outcome is AttemptOutcome.ANSWERED:
            self._by_id.pop(name)
            self._report(pause, PauseStep.ENDED)
        elif pause.trial_at == trial.sent_at:
            pause.trial_at = None

    def forget(self, instance: str) -> None:
        """Note that an upstream is gone or has started anew.

        Its pause would hold again if the same incarnation returned.
        """
        found = self._by_id.get(instance)
        if found is not None and found.gone_at is None:
            found.gone_at = self._clock.now()
            self._report(found, PauseStep.GONE)

    def _find(self, upstream: RegisteredUpstream) -> Pause | None:
        found = self._by_id.get(upstream.instance)
        if found is None or not found.is_of(upstream):
            return None
        if found.gone_at is not None:
            # The registration has returned, and the process never ended.
            found.gone_at = None
            self._report(found, PauseStep.BEGUN)
        return found

    def _extend(self, pause: Pause, until: float) -> None:
        pause.until = until
        pause.trial_at = None
        if until - pause.reported_until >= _REPORTED_MOVE_S:
            pause.reported_until = until
            self._report(pause, PauseStep.EXTENDED)

    def _draw_offset_s(self) -> float:
        spread_s = _SPREAD_PER_GATEWAY_S * self._count_gateways()
        return min(spread_s, _MAX_SPREAD_S) * self._rng.random()

    def _drop_gone(self) -> None:
        oldest = self._clock.now() - _GONE_TTL_S
        for name, pause in tuple(self._by_id.items()):
            if pause.gone_at is not None and pause.gone_at < oldest:
                self._by_id.pop(name)

    def _report(self, pause: Pause, step: PauseStep) -> None:
        if self.on_change is not None:
            left_s = max(pause.until - self._clock.now(), 0)
            upstream = pause.upstream
            change = PauseChange(
                upstream.instance, upstream.service, step, left_s
            )
            self.on_change(change)

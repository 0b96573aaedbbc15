"""Script of a demonstration: its phases, its waits and its limits."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import attrs

from nutmegshore.clock import Clock
from nutmegshore.demo.callers import (
    Caller,
    CallerSetting,
    make_kinds,
    run_callers,
)
from nutmegshore.demo.cluster import Cluster
from nutmegshore.demo.ledgers import (
    CallerLedger,
    Run,
    count_over_cap,
    largest_in_window,
)
from nutmegshore.demo.report import Report, ShiftFigures, quantile_ms

__all__ = ('DemoOptions', 'run_demo')

_START_LIMIT_S = 30
_STEP_LIMIT_S = 30
_END_LIMIT_S = 25
_DRAIN_LIMIT_S = 10
_POLL_S = 0.1
_PROGRESS_S = 1
#: Requests in flight at a kill end within this time after it.
_KILL_SHADOW_S = 2
_PHASES = ('steady', 'shift', 'drain', 'kill', 'return', 'stop')
_LIFETIME_S = 1
_THINK_S = 0.25
_SHARE = 0.6
_CAP = 6
_P99 = 0.99
#: Callers of the busiest region, as a part of all.
_BUSY_PART = 0.5


@attrs.frozen
class DemoOptions:
    """What the command line asks for; `show` takes lines of progress."""

    deployment: str
    seed: int
    seconds: float
    callers: int
    show: Callable[[str], None] = lambda line: None


@attrs.define
class _Session:
    """State of one run."""

    options: DemoOptions
    clock: Clock
    cluster: Cluster
    report: Report
    phase: str = ''
    drain_state: str = '-'
    killed_at: float = float('-inf')
    shift_began: float = float('inf')
    shift_ended: float = float('inf')
    is_ending: bool = False

    @property
    def region(self) -> str:
        """The busiest region, which traffic is shifted away from."""
        return next(iter(self.cluster.specs('region')))

    @property
    def target(self) -> str:
        """The region that takes the shifted requests."""
        return list(self.cluster.specs('region'))[1]

    @property
    def service(self) -> str:
        """The shifted service, the look-ups."""
        return next(iter(self.cluster.specs('service')))

    def is_crashing_upstreams(self) -> bool:
        """Whether a request may end early because of a killed upstream."""
        return self.clock.now() - self.killed_at < _KILL_SHADOW_S

    def is_source(self, run: Run) -> bool:
        """Whether a run is of the shifted service and source region."""
        is_ours = run.service == self.service
        return is_ours and run.caller_region == self.region

    def is_shifted(self, run: Run) -> bool:
        """Whether a run counts against the cap."""
        is_within = self.shift_began <= run.at <= self.shift_ended
        is_moved = self.is_source(run) and run.region == self.target
        return is_moved and is_within


async def run_demo(options: DemoOptions, clock: Clock) -> Report:
    """Run the whole script; returns within a bound also when parts hang."""
    rng = random.Random(options.seed)
    cluster = Cluster(
        options.deployment,
        clock,
        random.Random(rng.random()),
        _LIFETIME_S,
    )
    report = Report(cluster.runs, CallerLedger(), phases=list(_PHASES))
    session = _Session(options, clock, cluster, report)
    if await _limited(session, 'start', cluster.start(), _START_LIMIT_S):
        await _run_loaded(session, rng)
    await _limited(session, 'stop of all parts', cluster.stop(), _END_LIMIT_S)
    report.failures.extend(cluster.list_faults())
    _count_shift(session)
    return report


async def _run_loaded(session: _Session, rng: random.Random) -> None:
    """Run the phases while callers send."""
    callers = _make_callers(session, rng)
    load = asyncio.create_task(
        run_callers(callers, _THINK_S, lambda: session.is_ending),
    )
    progress = asyncio.create_task(_show_progress(session))
    phases = list(_PHASES)
    while phases:
        phase = phases.pop(0)
        session.phase = phase
        step = _STEPS.get(phase)
        if step is not None:
            what = f'phase {phase}'
            await _limited(session, what, step(session), _STEP_LIMIT_S)
        if load.done():
            break
        await session.clock.sleep(session.options.seconds / len(_PHASES))
    session.is_ending = True
    await _limited(session, 'end of callers', load, _END_LIMIT_S)
    progress.cancel()
    await asyncio.gather(progress, return_exceptions=True)


async def _limited(
    session: _Session,
    what: str,
    step: Awaitable[None],
    limit_s: float,
) -> bool:
    """Wait with a limit; a hang or an error becomes a failure's reason."""
    try:
        await asyncio.wait_for(step, limit_s)
    except TimeoutError:
        session.report.failures.append(f'{what}: no end after {limit_s} s')
        return False
    except Exception as error:  # noqa: BLE001 - any fault of a part is reported
        session.report.failures.append(f'{what}: {error!r}')
        return False
    return True


def _make_callers(session: _Session, rng: random.Random) -> list[Caller]:
    setting = CallerSetting(
        kinds=make_kinds(list(session.cluster.specs('service'))),
        ledger=session.report.callers,
        clock=session.clock,
        phase=lambda: session.phase,
        is_crashing_upstreams=session.is_crashing_upstreams,
    )
    regions = list(session.cluster.specs('region'))
    rest = (1 - _BUSY_PART) / (len(regions) - 1)
    weights = [_BUSY_PART, *[rest for _ in regions[1:]]]
    drawn = rng.choices(regions, weights, k=session.options.callers)
    return [
        Caller(
            f'c{number}',
            region,
            [
                place.address
                for place in session.cluster.places
                if place.region == region
            ],
            setting,
            random.Random(rng.random()),
        )
        for number, region in enumerate(drawn)
    ]


async def _shift(session: _Session) -> None:
    spec = {
        'service': session.service,
        'from_region': session.region,
        'to_region': session.target,
        'share': _SHARE,
        'cap': _CAP,
    }
    session.shift_began = session.clock.now()
    await session.cluster.declare('shift', 'demo', spec, 'busy region')


async def _drain(session: _Session) -> None:
    """Declare a drain, then wait until the upstream gets no new work."""
    name = _pick(session, 0)
    session.drain_state = f'{name} declared'
    began = session.clock.now()
    await session.cluster.declare('drain', 'demo', {'upstream': name}, 'work')
    quiet_since = session.clock.now()
    while session.clock.now() - quiet_since < 1:
        await session.clock.sleep(_POLL_S)
        if session.cluster.runs.count_since(name, quiet_since):
            quiet_since = session.clock.now()
        if quiet_since - began > _DRAIN_LIMIT_S:
            session.report.failures.append(f'drain: {name} gets new work')
            return
    session.report.drain_s = quiet_since - began
    session.drain_state = f'{name} done'


async def _kill(session: _Session) -> None:
    session.killed_at = session.clock.now()
    session.cluster.upstreams[_pick(session, 1)].kill()


async def _return(session: _Session) -> None:
    session.cluster.upstreams[_pick(session, 1)].start()
    await session.cluster.declare('shift', 'demo', None, 'over')
    session.shift_ended = session.clock.now()


async def _stop(session: _Session) -> None:
    # The first entry takes the operator's calls, so another one of the
    # busiest region stops.
    place = [
        found
        for found in session.cluster.places
        if found.region == session.region
    ][-1]
    began = session.clock.now()
    await session.cluster.stop_entry(place.name)
    session.report.stop_s = session.clock.now() - began


def _pick(session: _Session, number: int) -> str:
    """An upstream of the shifted service in the busiest region."""
    return [
        name
        for name, upstream in session.cluster.upstreams.items()
        if upstream.place.service == session.service
        and upstream.place.region == session.region
    ][number]


_STEPS = MappingProxyType(
    {
        'shift': _shift,
        'drain': _drain,
        'kill': _kill,
        'return': _return,
        'stop': _stop,
    }
)


def _count_shift(session: _Session) -> None:
    times = session.report.runs.times(session.is_shifted)
    session.report.shift = ShiftFigures(
        cap=_CAP,
        largest=largest_in_window(times),
        over_cap=count_over_cap(times, _CAP),
        moved=len(times),
    )


async def _show_progress(session: _Session) -> None:
    began = session.clock.now()
    while True:
        await session.clock.sleep(_PROGRESS_S)
        now = session.clock.now()
        session.options.show(_write_progress(session, now - began, now))


def _write_progress(session: _Session, seconds: float, now: float) -> str:
    asked = session.report.callers.asked
    answered = [found for found in asked if not found.verdict.reason]
    p50 = quantile_ms(answered, 1 / 2) or 0
    p99 = quantile_ms(answered, _P99) or 0
    return (
        f't={seconds:.0f}s phase={session.phase} requests={len(asked)}'
        f' answered={len(answered)} p50_ms={p50:.0f} p99_ms={p99:.0f}'
        + _write_steering(session, now)
    )


def _write_steering(session: _Session, now: float) -> str:
    times = session.report.runs.times
    since = now - 1
    moved = times(lambda run: run.at > since and session.is_shifted(run))
    local = times(lambda run: run.at > since and session.is_source(run))
    share = len(moved) / max(len(local), 1)
    return (
        f' shifted={share:.2f} cap_use={len(moved)}/{_CAP}'
        f' drain={session.drain_state}'
    )

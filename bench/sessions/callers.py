"""Memory of a large upload, and look-ups beside it."""

import asyncio
import contextlib
import functools
import random
import statistics
import time
from collections.abc import Callable, Iterator

import attrs

from bench.loopback import (
    LOOPBACK,
    PIECE,
    LookupCaller,
    LoopbackUpstream,
    upload,
)
from bench.measure import Findings, Measure
from nutmegshore.callers import (
    CallerForwarder,
    EntryAnswer,
    LookupAnswer,
    make_caller_application,
)
from nutmegshore.clock import SystemClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.listener import CallerServer
from nutmegshore.resources import Envelope, parse_spec
from nutmegshore.steering import Steering
from nutmegshore.upstreams.curl import CurlUpstreams

__all__ = ('measure',)

_SMALL_PIECES = 256
_LARGE_PIECES = 16_384
_MEMORY_GOAL_KIB = 1_024
_QUIET_S = 3
_DEADLINE_MS = 50_000


@attrs.frozen
class _Runs:
    """What callers of look-ups saw beside each kind of work."""

    quiet: LookupCaller
    direct: LookupCaller
    small: LookupCaller
    large: LookupCaller


def measure(seed: int) -> Findings:
    """Send 16 MiB and 1 GiB through an entry, beside look-ups."""
    upstream = LoopbackUpstream()
    runs = asyncio.run(_session(upstream, seed))
    # The direct upload is counted by the same upstream.
    pieces = _SMALL_PIECES + _LARGE_PIECES + _LARGE_PIECES
    missing = pieces * len(PIECE) - upstream.body_bytes
    whole = Measure(
        'upload_bytes_missing',
        missing,
        'bytes',
        'every byte of the uploads arrives',
        seed,
        missing == 0,
    )
    return Findings((whole, *_memory(runs, seed), *_lookups(runs, seed)))


async def _session(upstream: LoopbackUpstream, seed: int) -> _Runs:
    past = upstream.start()
    upstreams = CurlUpstreams(SystemClock())
    with contextlib.closing(upstreams):
        server = _listen(past, upstreams, seed)
        port = server.ports[0]
        runs = _Runs(
            quiet=await _beside(port, functools.partial(time.sleep, _QUIET_S)),
            direct=await _beside(port, _uploading(past, _LARGE_PIECES)),
            small=await _beside(port, _uploading(port, _SMALL_PIECES)),
            large=await _beside(port, _uploading(port, _LARGE_PIECES)),
        )
        server.stop()
        await server.close_all_connections()
    return runs


def _uploading(port: int, pieces: int) -> Callable[[], None]:
    return functools.partial(upload, port, pieces)


async def _beside(port: int, work: Callable[[], None]) -> LookupCaller:
    """Run blocking work in a thread, with look-ups in another."""
    found = LookupCaller(port)
    lookups = asyncio.ensure_future(asyncio.to_thread(found.run))
    await asyncio.to_thread(work)
    found.is_over.set()
    await lookups
    return found


def _memory(runs: _Runs, seed: int) -> Iterator[Measure]:
    """Peaks beyond that of the same upload past the entry.

    Entry, caller and upstream share the process, so the direct upload is what
    the stand-ins take.
    """
    for name, run in (('16_mib', runs.small), ('1_gib', runs.large)):
        peak_kib = run.peak_kib - runs.direct.peak_kib
        yield Measure(
            f'upload_{name}_memory',
            peak_kib,
            'KiB resident, beyond a direct upload',
            'a 1 GB upload costs a few hundred KB (at most 1024 KiB)',
            seed,
            peak_kib <= _MEMORY_GOAL_KIB,
        )


def _lookups(runs: _Runs, seed: int) -> Iterator[Measure]:
    figures = (
        ('p50', lambda run: statistics.median(run.seconds)),
        ('p99', LookupCaller.percentile_s),
    )
    for name, figure in figures:
        quiet = figure(runs.quiet)
        yield Measure(
            f'lookup_{name}_beside_upload',
            figure(runs.large) / quiet,
            f'times the {name} without an upload',
            'a 1 GB upload does not slow a look-up beside it',
            seed,
            baselines={'upload past the entry': figure(runs.direct) / quiet},
        )


def _listen(
    upstream_port: int, upstreams: CurlUpstreams, seed: int
) -> CallerServer:
    place = {'region': 'west', 'availability_zone': 'west-a'}
    specs = (
        ('region', 'west', {'availability_zones': ['west-a']}),
        ('service', 'scans', {'deadline_ms': _DEADLINE_MS}),
        (
            'upstream',
            'scans-1',
            {
                **place,
                'service': 'scans',
                'address': f'{LOOPBACK}:{upstream_port}',
                'slots': 3,
            },
        ),
    )
    table = ConfigurationTable()
    table.merge([_envelope(*spec) for spec in specs])
    steering = Steering(table, 'west', random.Random(seed))
    counters = Counters()
    entries = tuple(
        EntryAnswer(f'entry-{number}', f'{LOOPBACK}:{number}', 'west')
        for number in range(9)
    )
    application = make_caller_application(
        CallerForwarder(steering, upstreams, SystemClock(), counters),
        lambda service: LookupAnswer(entries, 5),
        counters,
    )
    return application.listen(0, LOOPBACK)


def _envelope(kind: str, name: str, spec: dict) -> Envelope:
    return Envelope(
        kind=kind,
        name=name,
        generation=1,
        uid=name,
        author='bench',
        reason='',
        operation=name,
        spec=parse_spec(kind, spec),
        is_deleted=False,
    )

"""The system's own processes under test, and what they use."""

import contextlib
import json
import os
import pathlib
import random
import re
import resource
import socket
import subprocess
import sys
import time
from urllib import request as urls

import attrs

#: Seconds for a process to get ready; far more than it takes.
_PATIENCE_S = 30
_LOOPBACK = '127.0.0.1'
_ROOT = pathlib.Path(__file__).parents[2]
_KB_PER_MB = 1024
#: Below those that the system draws for connections and for port 0.
_PORTS = range(10_000, 32_000)

_GATEWAY = """
[instance]
name = {name}
ip = 127.0.0.1
region = west
availability_zone = west-a
{limits}
[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
lookup = 127.0.0.1:{lookup}
metrics_port = {metrics}
[peers]
port = {peers}
cluster = test
key = a key of a test cluster
[store]
address = 127.0.0.1:{store}
[zones]
west-a = west
[log]
bytes_per_s = 400000
[bounds]
GraceS = 1
"""

_ENTRY = """
[instance]
name = e1
region = west
availability_zone = west-a
{limits}
[callers]
address = 127.0.0.1
port = {callers}
[operators]
port = {operators}
unauthenticated = yes
[peers]
port = {peers}
[lookup]
lifetime_seconds = 0
[platform]
url = http://127.0.0.1:{platform}
"""


@attrs.define
class Child:
    """A running process of the system, with its ports by their names."""

    process: subprocess.Popen
    ports: dict[str, int]
    path: str

    @property
    def port(self):
        """Port of the callers."""
        return self.ports['callers']

    @property
    def peak_mb(self):
        """Highest resident memory so far."""
        return self._status('VmHWM') / _KB_PER_MB

    @property
    def descriptors(self):
        """Open descriptors."""
        pid = self.process.pid
        return len(os.listdir(f'/proc/{pid}/fd'))

    @property
    def resident_mb(self):
        """Resident memory now."""
        return self._status('VmRSS') / _KB_PER_MB

    @property
    def unread_mb(self):
        """What callers sent and the process has not read, in the kernel."""
        waiting = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].rpartition(':')[2], 16) == self.port:
                waiting += int(fields[4].rpartition(':')[2], 16)
        return waiting / _KB_PER_MB**2

    def is_alive(self):
        """Whether the process still runs."""
        return self.process.poll() is None

    def stop(self):
        """End the process."""
        self.process.kill()
        self.process.wait()

    def _status(self, field):
        pid = self.process.pid
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
        return int(re.search(rf'{field}:\s*(\d+)', text).group(1))


def start_gateway(folder, standins, limits, descriptors=None, name='g1'):
    """Start `nutmegshore gateway`; returns when it is ready."""
    names = ('callers', 'ready', 'lookup', 'metrics', 'peers')
    ports = dict(zip(names, _free_ports(len(names)), strict=True))
    text = _GATEWAY.format(
        name=name,
        limits=_write_limits(limits),
        store=standins.store_port,
        **ports,
    )
    process = _start(folder, 'gateway', text, descriptors)
    child = Child(process, ports, '')
    ready = ports['ready']
    _wait_ready(child, f'http://{_LOOPBACK}:{ready}/ready')
    return child


def start_entry(folder, standins, limits, descriptors=None):
    """Start `nutmegshore entry` and declare a service with one upstream."""
    names = ('callers', 'operators', 'peers')
    ports = dict(zip(names, _free_ports(len(names)), strict=True))
    text = _ENTRY.format(
        limits=_write_limits(limits),
        platform=standins.object_port,
        **ports,
    )
    process = _start(folder, 'entry', text, descriptors)
    child = Child(process, ports, '/files')
    operators = 'http://127.0.0.1:{operators}'.format(**ports)
    _wait_ready(child, f'{operators}/ready')
    place = {'region': 'west', 'availability_zone': 'west-a'}
    upstream = f'{_LOOPBACK}:{standins.upstream_port}'
    caller_address = f'{_LOOPBACK}:{child.port}'
    for path, spec in (
        ('region/west', {'availability_zones': ['west-a']}),
        ('service/files', {'idempotent': True, 'deadline_ms': 60_000}),
        (
            'upstream/u1',
            {**place, 'service': 'files', 'address': upstream, 'slots': 2000},
        ),
        ('entry/e1', {**place, 'caller_address': caller_address}),
    ):
        _put(f'{operators}/objects/{path}', spec)
    return child


def _write_limits(limits):
    """The settings of the instance."""
    return '\n'.join(f'{key} = {value}' for key, value in limits.items())


def _start(folder, command, text, descriptors):
    path = folder / f'{command}.ini'
    path.write_text(text)

    def limit_descriptors():
        if descriptors:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (descriptors, descriptors)
            )

    log = (folder / f'{command}.log').open('wb')
    with log:
        return subprocess.Popen(
            (sys.executable, '-m', 'nutmegshore', command, str(path)),
            cwd=_ROOT,
            stdout=log,
            stderr=log,
            preexec_fn=limit_descriptors,
        )


def _wait_ready(child, url):
    until = time.monotonic() + _PATIENCE_S
    while True:
        assert child.is_alive(), 'the process ended during its start'
        assert time.monotonic() < until, 'the process did not get ready'
        try:
            urls.urlopen(url, timeout=2).close()
        except OSError:
            time.sleep(0.05)
        else:
            return


def _put(url, spec):
    request = urls.Request(url, json.dumps(spec).encode(), method='PUT')
    urls.urlopen(request, timeout=10).close()


def _free_ports(count):
    """Ports that nobody listens at, and that the system gives to nobody.

    Other processes may run between the draw and the use.
    """
    drawn = random.sample(_PORTS, len(_PORTS))
    held = []
    while len(held) < count:
        with contextlib.suppress(OSError):
            held.append(socket.create_server((_LOOPBACK, drawn.pop())))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports

"""Fixtures that start the system's processes for untrusted callers."""

import attrs
import pytest

from tests.hostile.children import start_entry, start_gateway
from tests.hostile.crowd import Crowd, ask
from tests.hostile.standins import StandIns

#: Memory of the smallest instance of the deployments.
MEMORY_MB = 152
#: What the process may use more than after its start.
GROWTH_MB = 80
#: Seconds in which the one request of an ordinary caller is answered at last.
_PATIENCE_S = 20
_LARGE_BYTES = 1_900_000


@attrs.define
class Trial:
    """A process, its callers and the checks of what it uses."""

    child: object
    start_mb: float
    most_descriptors: int
    crowds: list = attrs.field(factory=list)

    def crowd(self, count, port='callers', **options):
        """Connect many callers to a port."""
        made = Crowd(self.child.ports[port], count, **options)
        self.crowds.append(made)
        return made

    def request(self, method, path, *lines):
        """Head of a request as an ordinary caller sends it."""
        target = self.child.path + path
        head = (
            f'{method} {target} HTTP/1.1',
            'Host: a.example',
            'Request-Id: r1',
            *lines,
        )
        return '\r\n'.join((*head, '', '')).encode()

    def ask_page(self, port, target):
        """Status of a page on another port, as an ordinary client gets it."""
        head = f'GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        return ask(self.child.ports[port], head.encode(), _PATIENCE_S)

    def check(self):
        """Check the process beside the crowds that are still open."""
        ordinary = self.request('GET', '/read/x', 'Connection: close')
        length = f'Content-Length: {_LARGE_BYTES}'
        large = self.request('POST', '/up/x', length, 'Connection: close')
        port = self.child.port
        found = {
            'alive': self.child.is_alive(),
            'ordinary': ask(port, ordinary, _PATIENCE_S),
            'large': ask(port, large + bytes(_LARGE_BYTES), _PATIENCE_S),
            'growth_mb': round(self.child.peak_mb - self.start_mb),
            'peak_mb': round(self.child.peak_mb),
            'descriptors': self.child.descriptors,
        }
        assert found['alive']
        assert found['growth_mb'] < GROWTH_MB, str(found)
        assert found['peak_mb'] < MEMORY_MB, str(found)
        assert found['descriptors'] < self.most_descriptors, str(found)
        assert (found['ordinary'], found['large']) == (200, 200), str(found)


@pytest.fixture
def trial(tmp_path, request):
    """Function that starts a process; all of it ends with the test."""
    ends = []

    def build(kind, max_body_bytes=2_000_000, descriptors=1024):
        standins = StandIns(max_body_bytes)
        standins.__enter__()
        ends.append(lambda: standins.__exit__(None, None, None))
        start = start_gateway if kind == 'gateway' else start_entry
        limits = {'memory_mb': MEMORY_MB}
        child = start(tmp_path, standins, limits, descriptors)
        ends.append(child.stop)
        made = Trial(child, child.peak_mb, descriptors)
        ends.append(lambda: [crowd.close() for crowd in made.crowds])
        return made

    yield build
    for end in reversed(ends):
        end()


@pytest.fixture(params=['gateway', 'entry'])
def started(trial, request):
    """A gateway, then an entry."""
    return trial(request.param)

"""Fixtures that run command lines against an entry in memory."""

import random

import pytest
from cleo.testers.application_tester import ApplicationTester

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.commands import make_application
from nutmegshore.commands.base import Context
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.operators import (
    ChangeLog,
    ConflictReport,
    Declarer,
    RouteExplanation,
    OperatorApi,
    Providers,
    StatusBoard,
)
from nutmegshore.operators.access import Credential, Role
from nutmegshore.operators.client import MemoryOperatorClient
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.steering import Origin


class Session:
    """Command lines of operators on one entry, with a transcript."""

    def __init__(self, client_type=MemoryOperatorClient):
        self.client_type = client_type
        self.store = MemoryStore()
        self.parts = []
        self.operator = 'ann'
        self.transcript = []
        self.servers = []
        self.environ = {}
        table = ConfigurationTable()
        board = StatusBoard(
            table, 'west', lambda: 1_700_000_000, lambda envelope: ['e1']
        )
        board.add_provider(lambda: self.parts)
        providers = Providers(
            explain=_explain,
            find_conflicts=_find_conflicts,
            iter_statuses=board.iter_statuses,
        )
        self.api = OperatorApi(
            Declarer(
                MemoryPlatform(self.store, VirtualClock()),
                table,
                random.Random(1),
            ),
            table,
            ChangeLog(table, 'epoch'),
            providers,
            Counters(),
        )

    def run(self, line):
        """Run one command line; returns its exit code."""
        context = Context(self._open, run_virtual, VirtualClock(), self.environ)
        tester = ApplicationTester(make_application(context))
        code = tester.execute(line)
        self.output = tester.io.fetch_output()
        self.errors = tester.io.fetch_error()
        self.transcript.append(
            f'$ nutmegshore {line}\n{self.output}{self.errors}[exit {code}]\n',
        )
        return code

    def _open(self, server):
        self.servers.append(server)
        credential = Credential(self.operator, Role.WRITE)
        return self.client_type(self.api, credential)


def _explain(service, region):
    origin = Origin('shift', 's', 2, 'ann')
    places = ({'region': 'west', 'share': 0.5, 'origins': [origin]},)
    return [RouteExplanation(service, region, places)]


def _find_conflicts(by_key):
    names = sorted(by_key)
    if {'config/drain/d', 'config/shift/s'} <= set(names):
        return [ConflictReport('drain/d', 'shift/s', 'region west')]
    return []


@pytest.fixture
def session():
    """A session on an empty store."""
    return Session()

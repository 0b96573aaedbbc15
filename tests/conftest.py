"""Fixtures that many test files share."""

import hypothesis
import pytest

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Envelope, parse_spec

# The same examples on every run and no time limit, so that the verdict does
# not depend on chance or on the load of the machine.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile('repeatable')


@pytest.fixture
def declare():
    """Function that builds an envelope of the first generation."""

    def build(kind, name, spec, generation=1, **options):
        return Envelope(
            kind=kind,
            name=name,
            generation=generation,
            uid=options.get('uid', 'uid'),
            author=options.get('author', 'ann'),
            reason=options.get('reason', ''),
            operation=options.get('operation', f'op-{generation}'),
            spec=None if spec is None else parse_spec(kind, spec),
            is_deleted=spec is None,
        )

    return build


@pytest.fixture
def table():
    """Empty configuration table."""
    return ConfigurationTable()

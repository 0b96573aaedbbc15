"""Tests of the objects that are shipped."""

import pytest

from nutmegshore.examples import DEPLOYMENTS, list_objects
from nutmegshore.resources import (
    check_references,
    check_spec,
)


@pytest.mark.parametrize('deployment', sorted(DEPLOYMENTS))
def test_the_objects_of_a_deployment_pass_every_check(declare, deployment):
    """Guards against examples that an operator cannot apply."""
    envelopes = [
        declare(found['kind'], found['name'], found['spec'])
        for found in list_objects(deployment)
    ]
    by_key = {envelope.key: envelope for envelope in envelopes}
    assert len(by_key) == len(envelopes)
    for envelope in envelopes:
        assert not check_spec(envelope.spec)
        assert not check_references(envelope.spec, by_key)


def _slots(deployment, service):
    return [
        found['spec']['slots']
        for found in list_objects(deployment)
        if found['kind'] == 'upstream' and found['spec']['service'] == service
    ]


def test_the_examples_have_the_declared_sizes():
    """Guards against examples that differ from the design page."""
    assert _slots('vestfold', 'catalogue') == list((5,) * 14)
    for service in ('orders', 'scans', 'archive'):
        assert _slots('vestfold', service) == list((3,) * 12)
    for service in ('tallies', 'postings', 'slips', 'ledger'):
        assert _slots('patelwadi', service) == list((3,) * 12)
    for deployment in DEPLOYMENTS:
        kinds = [found['kind'] for found in list_objects(deployment)]
        assert kinds.count('entry') == 9
        assert kinds.count('region') == 3
        assert kinds.count('rule') == 3

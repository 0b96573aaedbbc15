"""Tests of parsing blocks and addresses."""

import socket

import pytest

from nutmegshore.blocks import parse_block, read_address, write_block
from nutmegshore.resources import InvalidObject


@pytest.mark.parametrize('network', ['10.2.0.0/16', '2001:db8::/33', '::/0'])
def test_a_block_reads_back_as_written(network):
    """Guards against a block that changes when it is stored."""
    raw = {'network': network, 'sites': [3, 1]}
    assert write_block(parse_block(raw)) == raw


@pytest.mark.parametrize(
    ('raw', 'fields'),
    [
        ({'network': '10.2.0.1/16', 'sites': [1]}, ['network']),
        ({'network': '10.2.0.0', 'sites': [1]}, ['network']),
        ({'network': '::ffff:10.0.0.0/104', 'sites': [1]}, ['network']),
        ({'network': 7, 'sites': [1, 1]}, ['network', 'sites']),
        ({'network': '10.0.0.0/8', 'sites': []}, ['sites']),
        ({'network': '10.0.0.0/8', 'sites': [180]}, ['sites']),
        ({'network': '10.0.0.0/8', 'sites': [True], 'x': 1}, ['x', 'sites']),
        ([], ['block']),
    ],
)
def test_every_fault_of_a_block_is_reported(raw, fields):
    """Guards against storing an invalid block and against unnamed faults."""
    with pytest.raises(InvalidObject) as refused:
        parse_block(raw, site_count=180)
    assert [fault.field for fault in refused.value.faults] == fields


def test_an_ipv4_mapped_address_is_read_as_ipv4():
    """Guards against IPv4 callers of a dual-stack listener without a block."""
    mapped = socket.inet_pton(socket.AF_INET6, '::ffff:10.1.2.3')
    assert read_address(mapped) == read_address(socket.inet_aton('10.1.2.3'))


def test_an_address_of_another_length_is_refused():
    """Guards against a truncated address that is looked up as another one."""
    with pytest.raises(ValueError, match='abc'):
        read_address(b'abc')

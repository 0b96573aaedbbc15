"""Fixtures of the client-block tests."""

import ipaddress

import pytest

from nutmegshore.blocks import Block, Network
from nutmegshore.steering.plan import Origin


@pytest.fixture
def origin():
    """Function that builds the origin of a declared object."""

    def build(kind, name):
        return Origin(kind, name, 1, 'ann')

    return build


@pytest.fixture
def make_block():
    """Function that builds a block from text and site numbers."""

    def build(text, *sites):
        parsed = ipaddress.ip_network(text)
        first = int(parsed.network_address)
        network = Network(parsed.max_prefixlen, first, parsed.prefixlen)
        return Block(network, sites)

    return build


@pytest.fixture
def naive():
    """Reference look-up that scans all blocks for the longest match."""

    def search(sites_by_network, bits, address):
        matches = [
            network
            for network in sites_by_network
            if network.bits == bits
            and (address ^ network.start) >> network.host_bits == 0
        ]
        if not matches:
            return None
        longest = max(matches, key=lambda network: network.length)
        return sites_by_network[longest]

    return search

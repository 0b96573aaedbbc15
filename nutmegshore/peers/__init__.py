"""Membership of the cluster and messages between its entries."""

from nutmegshore.peers.base import Member, Peers, process_of
from nutmegshore.peers.codec import decode, encode, message
from nutmegshore.peers.components import MeshOptions
from nutmegshore.peers.link import Link, Transport
from nutmegshore.peers.membership import first_incarnation
from nutmegshore.peers.memory import MemoryNetwork, MemoryPeers
from nutmegshore.peers.memory_link import LinkNetwork, MemoryTransport
from nutmegshore.peers.mesh import MeshPeers
from nutmegshore.peers.queue_rules import QueueRule, queue_rule
from nutmegshore.peers.tcp import TcpTransport

__all__ = (
    'Link',
    'LinkNetwork',
    'Member',
    'MemoryNetwork',
    'MemoryPeers',
    'MemoryTransport',
    'MeshOptions',
    'MeshPeers',
    'Peers',
    'QueueRule',
    'TcpTransport',
    'Transport',
    'decode',
    'encode',
    'first_incarnation',
    'message',
    'process_of',
    'queue_rule',
)

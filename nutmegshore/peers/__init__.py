"""The other entries of the cluster."""

from nutmegshore.peers.base import Member, Peers
from nutmegshore.peers.codec import decode, encode, message
from nutmegshore.peers.memory import MemoryNetwork, MemoryPeers

__all__ = (
    'Member',
    'MemoryNetwork',
    'MemoryPeers',
    'Peers',
    'decode',
    'encode',
    'message',
)

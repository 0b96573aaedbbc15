"""Client blocks: from a caller's address to a ranked list of sites."""

from nutmegshore.blocks.block import (
    Block,
    Network,
    parse_block,
    parse_network,
    read_address,
    write_block,
)
from nutmegshore.blocks.bodies import ChunkFault
from nutmegshore.blocks.chunks import (
    Change,
    Delta,
    Manifest,
)
from nutmegshore.blocks.codec import parse_delta, write_delta
from nutmegshore.blocks.overlays import (
    Gate,
    Overlays,
    SiteAnswer,
    SiteDrain,
    SiteLimit,
    SiteLookup,
    SiteShift,
)
from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.rankings import Rankings
from nutmegshore.blocks.replica import BlockReplica, ChunkSource
from nutmegshore.blocks.slices import WORK_PER_SLICE, iter_slices
from nutmegshore.blocks.store import BLOCKS_PREFIX, FOLD_CHANGES, BlockStore
from nutmegshore.blocks.table import FOLD_AT, BlockTable, Rebuild

__all__ = (
    'BLOCKS_PREFIX',
    'FOLD_AT',
    'FOLD_CHANGES',
    'NOT_FOUND',
    'WORK_PER_SLICE',
    'Block',
    'BlockReplica',
    'BlockStore',
    'BlockTable',
    'Change',
    'ChunkFault',
    'ChunkSource',
    'Delta',
    'Gate',
    'Manifest',
    'Network',
    'Overlays',
    'Rankings',
    'Rebuild',
    'SiteAnswer',
    'SiteDrain',
    'SiteLimit',
    'SiteLookup',
    'SiteShift',
    'iter_slices',
    'parse_block',
    'parse_delta',
    'parse_network',
    'read_address',
    'write_block',
    'write_delta',
)

"""Client blocks: map a caller's address to a ranked list of sites."""

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
    BlockChange,
    Delta,
    Manifest,
)
from nutmegshore.blocks.codec import parse_delta, write_delta
from nutmegshore.blocks.overlays import (
    Overlays,
    SiteAnswer,
    SiteDrain,
    SiteLimit,
    SiteLookup,
    SiteShift,
    TryAcquire,
)
from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.rankings import Rankings
from nutmegshore.blocks.replica import BlockReplica, ChunkSource
from nutmegshore.blocks.slices import ITEMS_PER_SLICE, iter_slices
from nutmegshore.blocks.store import (
    BLOCKS_PREFIX,
    DELTA_FOLD_THRESHOLD,
    BlockStore,
)
from nutmegshore.blocks.table import TABLE_FOLD_THRESHOLD, BlockTable, Rebuild

__all__ = (
    'BLOCKS_PREFIX',
    'DELTA_FOLD_THRESHOLD',
    'ITEMS_PER_SLICE',
    'NOT_FOUND',
    'TABLE_FOLD_THRESHOLD',
    'Block',
    'BlockChange',
    'BlockReplica',
    'BlockStore',
    'BlockTable',
    'ChunkFault',
    'ChunkSource',
    'Delta',
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
    'TryAcquire',
    'iter_slices',
    'parse_block',
    'parse_delta',
    'parse_network',
    'read_address',
    'write_block',
    'write_delta',
)

"""Tests of the packed blocks."""

import pytest

from nutmegshore.blocks.packed import REMOVED, PackedV4, PackedV6
from nutmegshore.errors import ObjectError


_NET = 10 << 24
_HALF = 1 << 64
_OUT_OF_RANGE = (_HALF, 0)


@pytest.mark.parametrize(
    'second',
    [(_NET, 24), (_NET - 256, 8), (_NET + 1, 8), _OUT_OF_RANGE],
)
def test_a_block_that_look_ups_would_miss_is_refused(second):
    """Guards against blocks out of order, with host bits or out of range."""
    packed = PackedV4()
    packed.append(_NET, 24, 1)
    with pytest.raises(ObjectError):
        packed.append(*second, 2)
    assert len(packed) == 1


def test_a_removed_block_falls_back_to_the_enclosing_one():
    """Guards against a removal that hides the enclosing block."""
    packed = PackedV4()
    packed.append(_NET, 24, 1)
    packed.append(_NET + (1 << 16), 16, 2)
    packed.rankings[1] = REMOVED
    assert packed.find(_NET + (1 << 16) + 5) == 0


def test_blocks_that_share_their_upper_half_are_distinguished():
    """Guards against a search that stops at the upper half."""
    packed = PackedV6()
    packed.append(_HALF, 64, 1)
    packed.append(_HALF + 256, 8, 2)
    packed.append(_HALF + 512, 8, 3)
    lows = (255, 256, 511, 768)
    assert [packed.find(_HALF + low) for low in lows] == [0, 1, 1, 0]
    assert packed.find(5) == -1

"""Distinct ranked lists of sites, each stored once."""

from array import array
from collections.abc import Sequence

from nutmegshore.errors import ErrorKind, ObjectError

__all__ = ('MAX_RANKINGS', 'Rankings')

#: Ranking numbers take 16 bits; the highest one marks a removed block.
MAX_RANKINGS = 65_535


class Rankings:
    """Ranked lists by number, packed into one array of site numbers.

    Many blocks share few distinct lists, so a block stores only the number of
    its list. Lists are never removed; a rebuild of the table starts with a
    new object that has only the lists in use.

        rankings = Rankings()
        number = rankings.intern((3, 1, 7))
        rankings.get_sites(number)  # (3, 1, 7)
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._joined_sites = array('H')
        self._ends = array('I', [0])
        self._number_by_packed: dict[bytes, int] = {}

    def __len__(self) -> int:
        """Count the distinct lists."""
        return len(self._ends) - 1

    def intern(self, sites: Sequence[int]) -> int:
        """Number of a list, the same for equal lists.

        Raises `ObjectError` when there are `MAX_RANKINGS` lists already, and
        OverflowError for a site number of more than 16 bits.
        """
        return self.intern_packed(array('H', sites).tobytes())

    def intern_packed(self, packed: bytes) -> int:
        """Number of a list packed as 16-bit sites in native byte order."""
        number = self._number_by_packed.get(packed)
        if number is None:
            number = self._add(packed)
        return number

    def get_sites(self, number: int) -> tuple[int, ...]:
        """Sites of a list, best first."""
        return tuple(self._get_array(number))

    def get_packed(self, number: int) -> bytes:
        """Packed form of a list, as `intern_packed` accepts it."""
        return self._get_array(number).tobytes()

    def _get_array(self, number: int) -> 'array[int]':
        first = self._ends[number]
        end = self._ends[number + 1]
        return self._joined_sites[first:end]

    def _add(self, packed: bytes) -> int:
        number = len(self)
        if number >= MAX_RANKINGS:
            raise ObjectError(
                ErrorKind.INVALID_OBJECT,
                f'more than {MAX_RANKINGS} distinct rankings',
            )
        self._joined_sites.frombytes(packed)
        self._ends.append(len(self._joined_sites))
        self._number_by_packed[packed] = number
        return number

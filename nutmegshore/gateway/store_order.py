"""Order of the store's answers over its eras."""

from nutmegshore.errors import HistoryLost, PlatformUnavailable
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.store import StoreEras, StorePosition

__all__ = ('StoreOrder',)


class StoreOrder:
    """Tells whether an answer is older than the known objects of a kind.

    What is known from an era that was withdrawn is older than any answer of
    another era. `eras` is None for a store that is never restored.

        order = StoreOrder('servers/', known, store.eras)
        order.is_outdated(listing.read_at)
    """

    def __init__(
        self, kind: str, known: KnownObjects, eras: StoreEras | None
    ) -> None:
        """Compare with the objects in `known`."""
        self._kind = kind
        self._known = known
        self._eras = eras

    def is_withdrawn(self, era: int) -> bool:
        """Whether the store has named an era and does not do so any more."""
        return self._eras is not None and self._eras.is_withdrawn(era)

    def is_outdated(self, read_at: StorePosition) -> bool:
        """Whether objects that were read at a position are too old."""
        known_at = self._known.position
        if self.is_withdrawn(known_at.era):
            return self.is_withdrawn(read_at.era)
        return read_at < known_at

    def check_era(self, era: int) -> None:
        """Raise `PlatformError` unless an answer has the known objects' era."""
        known_era = self._known.position.era
        if era > known_era or self.is_withdrawn(known_era):
            raise HistoryLost(f'{self._kind}: era {era}')
        if era < known_era:
            raise PlatformUnavailable(
                f'{self._kind}: answer of the older era {era}'
            )

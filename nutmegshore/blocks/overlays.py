"""Drains, limits and shifts of whole sites, applied at look-up."""

import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.table import BlockTable
from nutmegshore.steering.plan import Origin

__all__ = (
    'Overlays',
    'SiteAnswer',
    'SiteDrain',
    'SiteLimit',
    'SiteLookup',
    'SiteShift',
    'TryAcquire',
)

#: Acquires one unit of the cap or limit that the object declares; False if none
#: is available.
TryAcquire = Callable[[Origin], bool]


@attrs.frozen
class SiteDrain:
    """A site that receives no callers because of a drain."""

    site: int
    origin: Origin


@attrs.frozen
class SiteLimit:
    """A site that may rank first in an answer only with a unit."""

    site: int
    origin: Origin


@attrs.frozen
class SiteShift:
    """A share (0 to 1) of a site's callers that moves to another site.

    Each look-up that moves needs a unit of the shift's cap.
    """

    site: int
    to_site: int
    share: float
    origin: Origin


@attrs.frozen
class SiteAnswer:
    """Sites for a caller, best first, and the objects that changed the order.

    `sites` is empty if every ranked site is excluded. `origins` names the
    declared object behind each difference from the table's ranking.
    """

    sites: tuple[int, ...]
    origins: tuple[Origin, ...] = ()


_Overlay = TypeVar('_Overlay', SiteDrain, SiteLimit, SiteShift)


class Overlays:
    """The drains, limits and shifts in force.

    A drain takes precedence over a limit and a limit over a shift; of several
    objects of one kind for one site, the one with the lowest name applies. A
    shift applies to the first site that is not drained. A limited site that
    gets no unit is dropped from the answer, and the next site becomes first.

        overlays = Overlays(random.Random(7), try_acquire=acquire_unit)
        overlays.replace(drains=[SiteDrain(3, origin)])
    """

    def __init__(self, rng: random.Random, try_acquire: TryAcquire) -> None:
        """Start without overlays; calls `try_acquire` for each unit."""
        self.version = 0
        self._rng = rng
        self._try_acquire = try_acquire
        self._drains: dict[int, SiteDrain] = {}
        self._limits: dict[int, SiteLimit] = {}
        self._shifts: dict[int, SiteShift] = {}

    def replace(
        self,
        drains: Iterable[SiteDrain] = (),
        limits: Iterable[SiteLimit] = (),
        shifts: Iterable[SiteShift] = (),
    ) -> None:
        """Replace all overlays at once."""
        self._drains = _by_site(drains)
        self._limits = _by_site(limits)
        self._shifts = _by_site(shifts)
        self.version += 1

    def apply_drains(self, sites: tuple[int, ...]) -> SiteAnswer:
        """Answer for a ranking with only the drains applied."""
        return SiteAnswer(
            tuple(site for site in sites if site not in self._drains),
            tuple(
                self._drains[site].origin
                for site in sites
                if site in self._drains
            ),
        )

    def is_cacheable(self, answer: SiteAnswer) -> bool:
        """Whether no limit or shift can change the answer at a look-up."""
        if not answer.sites:
            return True
        first = answer.sites[0]
        return first not in self._limits and first not in self._shifts

    def apply_shifts_and_limits(self, answer: SiteAnswer) -> SiteAnswer:
        """Apply shifts and limits to an answer of `apply_drains`."""
        shift = self._shifts.get(answer.sites[0])
        if shift is not None and self._try_shift(shift):
            others = [site for site in answer.sites if site != shift.to_site]
            return SiteAnswer(
                (shift.to_site, *others),
                (*answer.origins, shift.origin),
            )
        return self._apply_limits(answer)

    def _try_shift(self, shift: SiteShift) -> bool:
        if shift.to_site in self._drains:
            return False
        if self._rng.random() >= shift.share:
            return False
        # The cap's unit is acquired last, so that it is never spent on a
        # look-up that the receiving site's limit then refuses.
        return self._try_admit(shift.to_site) and self._try_acquire(
            shift.origin
        )

    def _apply_limits(self, answer: SiteAnswer) -> SiteAnswer:
        refused_by: list[Origin] = []
        for index, site in enumerate(answer.sites):
            if self._try_admit(site):
                sites = answer.sites[index:]
                return SiteAnswer(sites, (*answer.origins, *refused_by))
            refused_by.append(self._limits[site].origin)
        return SiteAnswer((), (*answer.origins, *refused_by))

    def _try_admit(self, site: int) -> bool:
        limit = self._limits.get(site)
        return limit is None or self._try_acquire(limit.origin)


class SiteLookup:
    """Looks up the sites for a caller with the overlays applied.

    Answers that no limit or shift can change are cached by ranking until the
    overlays or the table's rankings are replaced; rankings are few, so the
    cache stays small.

        lookup = SiteLookup(table, overlays)
        answer = lookup.find(socket.inet_aton('10.1.2.3'))
    """

    def __init__(self, table: BlockTable, overlays: Overlays) -> None:
        """Use a table and overlays; both may change later."""
        self._table = table
        self._overlays = overlays
        self._cached_by_ranking: dict[int, SiteAnswer] = {}
        self._drained_by_ranking: dict[int, SiteAnswer] = {}
        self._rankings = table.block_set.rankings
        self._version = overlays.version

    def find(self, packed: bytes) -> SiteAnswer | None:
        """Answer for an address of 4 or 16 bytes, None if no block has it.

        Raises ValueError for other lengths.
        """
        block_set = self._table.block_set
        ranking = block_set.find(packed)
        if ranking == NOT_FOUND:
            return None
        if self._version != self._overlays.version:
            self._reset_cache()
        if self._rankings is not block_set.rankings:
            self._reset_cache()
        return self._cached_by_ranking.get(ranking) or self._resolve(ranking)

    def _resolve(self, ranking: int) -> SiteAnswer:
        drained = self._drained_by_ranking.get(ranking)
        if drained is None:
            sites = self._rankings.get_sites(ranking)
            drained = self._overlays.apply_drains(sites)
            if self._overlays.is_cacheable(drained):
                self._cached_by_ranking[ranking] = drained
                return drained
            self._drained_by_ranking[ranking] = drained
        return self._overlays.apply_shifts_and_limits(drained)

    def _reset_cache(self) -> None:
        self._cached_by_ranking = {}
        self._drained_by_ranking = {}
        self._rankings = self._table.block_set.rankings
        self._version = self._overlays.version


def _by_site(overlays: Iterable[_Overlay]) -> dict[int, _Overlay]:
    ordered = sorted(
        overlays,
        key=lambda overlay: overlay.origin.name,
        reverse=True,
    )
    return {overlay.site: overlay for overlay in ordered}

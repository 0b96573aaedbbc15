"""Changes to whole sites that apply over the ranked lists at look-up."""

import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from nutmegshore.blocks.packed import NOT_FOUND
from nutmegshore.blocks.table import BlockTable
from nutmegshore.steering.plan import Origin

__all__ = (
    'Gate',
    'Overlays',
    'SiteAnswer',
    'SiteDrain',
    'SiteLimit',
    'SiteLookup',
    'SiteShift',
)

#: Takes one unit of the cap or limit that the object declares, or refuses.
Gate = Callable[[Origin], bool]


@attrs.frozen
class SiteDrain:
    """A site that takes no callers because of a drain."""

    site: int
    origin: Origin


@attrs.frozen
class SiteLimit:
    """A site that takes a caller as first site only with a unit."""

    site: int
    origin: Origin


@attrs.frozen
class SiteShift:
    """A share (0 to 1) of a site's callers that another site takes.

    Each moved look-up needs a unit of the shift's cap.
    """

    site: int
    to_site: int
    share: float
    origin: Origin


@attrs.frozen
class SiteAnswer:
    """Sites for a caller, the best first, and what changed their order.

    `sites` is empty where every ranked site is out. `origins` names the
    declared objects behind each difference from the table's ranking.
    """

    sites: tuple[int, ...]
    origins: tuple[Origin, ...] = ()


_Overlay = TypeVar('_Overlay', SiteDrain, SiteLimit, SiteShift)


class Overlays:
    """The whole-site changes in force.

    A drain takes precedence over a limit and a limit over a shift; of two
    objects of one kind for one site the lower name counts. A shift applies to
    the first site that the drains leave. A limited site that gets no unit
    falls out of the answer, so the next site becomes the first.

        overlays = Overlays(random.Random(7), gate=ledger.take)
        overlays.replace(drains=[SiteDrain(3, origin)])
    """

    def __init__(self, rng: random.Random, gate: Gate) -> None:
        """Start without changes; `gate` is asked for each unit."""
        self.version = 0
        self._rng = rng
        self._gate = gate
        self._drains: dict[int, SiteDrain] = {}
        self._limits: dict[int, SiteLimit] = {}
        self._shifts: dict[int, SiteShift] = {}

    def replace(
        self,
        drains: Iterable[SiteDrain] = (),
        limits: Iterable[SiteLimit] = (),
        shifts: Iterable[SiteShift] = (),
    ) -> None:
        """Put other changes in force, all at once."""
        self._drains = _by_site(drains)
        self._limits = _by_site(limits)
        self._shifts = _by_site(shifts)
        self.version += 1

    def apply_drains(self, sites: tuple[int, ...]) -> SiteAnswer:
        """The answer for a ranking that no limit or shift touches."""
        return SiteAnswer(
            tuple(site for site in sites if site not in self._drains),
            tuple(
                self._drains[site].origin
                for site in sites
                if site in self._drains
            ),
        )

    def is_settled(self, answer: SiteAnswer) -> bool:
        """Whether the answer is the same for every look-up."""
        if not answer.sites:
            return True
        first = answer.sites[0]
        return first not in self._limits and first not in self._shifts

    def decide(self, answer: SiteAnswer) -> SiteAnswer:
        """Apply shifts and limits to the answer that the drains left."""
        shift = self._shifts.get(answer.sites[0])
        if shift is not None and self._is_moved(shift):
            others = [site for site in answer.sites if site != shift.to_site]
            return SiteAnswer(
                (shift.to_site, *others),
                (*answer.origins, shift.origin),
            )
        return self._apply_limits(answer)

    def _is_moved(self, shift: SiteShift) -> bool:
        if shift.to_site in self._drains:
            return False
        if self._rng.random() >= shift.share:
            return False
        # The unit of the cap is taken last: it is never spent on a look-up
        # that the limit of the receiving site then refuses.
        return self._has_unit(shift.to_site) and self._gate(shift.origin)

    def _apply_limits(self, answer: SiteAnswer) -> SiteAnswer:
        refused: list[Origin] = []
        for index, site in enumerate(answer.sites):
            if self._has_unit(site):
                sites = answer.sites[index:]
                return SiteAnswer(sites, (*answer.origins, *refused))
            refused.append(self._limits[site].origin)
        return SiteAnswer((), (*answer.origins, *refused))

    def _has_unit(self, site: int) -> bool:
        limit = self._limits.get(site)
        return limit is None or self._gate(limit.origin)


class SiteLookup:
    """Looks up the sites for a caller with the overlays applied.

    Answers that no limit or shift touches are kept by ranking, few in number,
    until the overlays or the table's rankings are replaced.

        lookup = SiteLookup(table, overlays)
        answer = lookup.find(socket.inet_aton('10.1.2.3'))
    """

    def __init__(self, table: BlockTable, overlays: Overlays) -> None:
        """Join a table and overlays; both may change later."""
        self._table = table
        self._overlays = overlays
        self._settled: dict[int, SiteAnswer] = {}
        self._drained: dict[int, SiteAnswer] = {}
        self._rankings = table.block_set.rankings
        self._version = overlays.version

    def find(self, packed: bytes) -> SiteAnswer | None:
        """Answer for an address of 4 or 16 bytes, None without a block.

        Raises ValueError for another length.
        """
        block_set = self._table.block_set
        ranking = block_set.find(packed)
        if ranking == NOT_FOUND:
            return None
        if self._version != self._overlays.version:
            self._forget()
        if self._rankings is not block_set.rankings:
            self._forget()
        return self._settled.get(ranking) or self._decide(ranking)

    def _decide(self, ranking: int) -> SiteAnswer:
        drained = self._drained.get(ranking)
        if drained is None:
            sites = self._rankings.get_sites(ranking)
            drained = self._overlays.apply_drains(sites)
            if self._overlays.is_settled(drained):
                self._settled[ranking] = drained
                return drained
            self._drained[ranking] = drained
        return self._overlays.decide(drained)

    def _forget(self) -> None:
        self._settled = {}
        self._drained = {}
        self._rankings = self._table.block_set.rankings
        self._version = self._overlays.version


def _by_site(overlays: Iterable[_Overlay]) -> dict[int, _Overlay]:
    ordered = sorted(
        overlays,
        key=lambda overlay: overlay.origin.name,
        reverse=True,
    )
    return {overlay.site: overlay for overlay in ordered}

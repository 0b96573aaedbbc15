"""What another gateway tells one that starts."""

import attrs

from nutmegshore.gateway.restore_guard import HeldBack
from nutmegshore.store import Listing, StoredObject

__all__ = ('PeerWord',)


@attrs.frozen
class PeerWord:
    """What another gateway knows of a kind, and holds back of it.

    `found` has the era of its objects. It may lack them if the gateway that
    starts has listed that era itself. The view is `age_s` seconds old.
    """

    found: Listing
    held: HeldBack
    age_s: float = 0

    def in_use(self) -> list[StoredObject]:
        """Return the objects that the other gateway uses."""
        revived = {stored.key for stored in self.held.revived}
        used = {
            stored.key: stored
            for stored in self.found.listed
            if stored.key not in revived
        }
        kept = {stored.key: stored for stored in self.held.kept}
        return list((used | kept).values())

"""What gateways tell each other of their replicas of the store."""

import attrs

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
    StateNotice,
)
from nutmegshore.gateway.store_outages import ToldAnswers
from nutmegshore.store import StorePosition

__all__ = ('ReplicaSummary', 'ToldReplica', 'read_replica')

#: Messages that say what their sender knows of the store.
ReplicaSummary = LoadReport | LoadSummary | RegionLoadReport | StateNotice


@attrs.frozen
class ToldReplica:
    """What a peer tells of its replica of one kind.

    `listed_s` are the seconds since some gateway listed the kind, `age_s` those
    since the store's answer that its objects come from, the same if it does not
    tell. Both include `transit_s`, the time that the message took. `is_source`
    says whether others may rely on the replica instead of the store. `answers`
    are those of the store that the peer knows of.
    """

    position: StorePosition
    digest: int
    listed_s: float
    age_s: float
    transit_s: float
    is_source: bool
    answers: ToldAnswers

    def is_same_as(self, follower: KindFollower) -> bool:
        """Whether the replica has the same objects.

        Digests are made of versions, which another era gives out again.
        """
        known = follower.known
        is_same_era = self.position.era == known.position.era
        return is_same_era and self.digest == known.digest


def read_replica(
    summary: ReplicaSummary,
    follower: KindFollower,
    transit_s: float,
    *,
    is_near: bool,
) -> ToldReplica:
    """Return what a message says of the kind that a follower replicates.

    The message was on its way for `transit_s` seconds. `is_near` says whether
    its sender is in the same region.
    """
    prefix = follower.prefix
    revision, digest, listed_s, *flags = summary.replicas[prefix]
    age_s = summary.ages.get(prefix, listed_s)
    silent_s, steady_s, *_ = summary.answers.get(prefix, (listed_s, 0))
    return ToldReplica(
        follower.known.locate(revision, summary.eras.get(prefix)),
        digest,
        listed_s + transit_s,
        age_s + transit_s,
        transit_s,
        any(flags),
        ToldAnswers(silent_s + transit_s, steady_s if is_near else 0),
    )

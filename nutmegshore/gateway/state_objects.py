"""Objects of the store in messages between gateways."""

from nutmegshore.gateway.follower import KindFollower
from nutmegshore.gateway.messages import (
    UNKNOWN_AGE,
    UNKNOWN_ERA,
    RestoreAnswer,
    StateChanges,
    StateReply,
    StateRequest,
)
from nutmegshore.gateway.peer_word import PeerWord
from nutmegshore.gateway.replica_view import ToldView
from nutmegshore.gateway.restore_guard import HeldBack
from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StorePosition,
)

__all__ = (
    'locate',
    'make_answer',
    'make_changes',
    'make_reply',
    'read_answer',
    'read_changes',
    'read_reply',
    'read_view',
)


def make_reply(
    follower: KindFollower, changes: Changes | None, sent_at: float
) -> StateReply:
    """Return a reply with changes, or with all objects without them."""
    known = follower.known
    listed = list(known.by_key.values())
    removed: list[str] = []
    if changes is not None:
        listed = _present(changes)
        removed = _removed(changes)
    return StateReply(
        follower.prefix,
        known.position.revision,
        [_to_fields(stored) for stored in listed],
        is_full=changes is None,
        removed=removed,
        is_after_outage=follower.outages.may_lack_entries,
        era=known.position.era,
        age_s=follower.view.seen_s,
        hops=follower.view.hops,
        sent_at=sent_at,
    )


def make_changes(
    follower: KindFollower,
    changes: Changes,
    base: StorePosition,
    sent_at: float,
) -> StateChanges:
    """Return a message with the changes since `base`."""
    return StateChanges(
        follower.prefix,
        base.revision,
        changes.position,
        [_to_fields(stored) for stored in _present(changes)],
        removed=_removed(changes),
        era=changes.era,
        age_s=follower.view.seen_s,
        hops=follower.view.hops,
        sent_at=sent_at,
    )


def read_reply(reply: StateReply, follower: KindFollower) -> Listing | Changes:
    """Return the objects or changes of a reply."""
    read_at = locate(follower, reply)
    if reply.is_full:
        listed = tuple(_read_objects(reply.listed))
        return Listing(read_at.revision, listed, read_at.era)
    return _read_changes(reply, read_at)


def read_changes(changes: StateChanges) -> Changes:
    """Return the changes of a message."""
    read_at = StorePosition(changes.era, changes.position)
    return _read_changes(changes, read_at)


def read_view(told: StateReply | StateChanges, transit_s: float) -> ToldView:
    """Return the sender's view, after `transit_s` seconds on the way."""
    if told.age_s == UNKNOWN_AGE:
        return ToldView(hops=told.hops)
    return ToldView(told.age_s + transit_s, told.hops)


def make_answer(follower: KindFollower, asked_era: int) -> RestoreAnswer:
    """Return what a gateway that starts, and has read an era, may lack."""
    era = follower.known.position.era
    listed = [] if asked_era == era else follower.known.by_key.values()
    held = follower.feed.held()
    return RestoreAnswer(
        follower.prefix,
        era,
        [_to_fields(stored) for stored in listed],
        kept=[_to_fields(stored) for stored in held.kept],
        revived=[_to_fields(stored) for stored in held.revived],
        held_s=held.age_s,
        age_s=follower.view.seen_s,
    )


def read_answer(answer: RestoreAnswer, transit_s: float) -> PeerWord | None:
    """Return what an answer tells after `transit_s` seconds, if anything."""
    if answer.era == UNKNOWN_ERA:
        return None
    held = HeldBack(
        tuple(_read_objects(answer.kept)),
        tuple(_read_objects(answer.revived)),
        max(answer.held_s, 0) + transit_s,
    )
    listed = tuple(_read_objects(answer.listed))
    found = Listing(0, listed, answer.era)
    return PeerWord(found, held, answer.age_s + transit_s)


def locate(
    follower: KindFollower, body: StateRequest | StateReply
) -> StorePosition:
    """Return the position that a message names."""
    era = None if body.era == UNKNOWN_ERA else body.era
    return follower.known.locate(body.position, era)


def _read_changes(
    told: StateReply | StateChanges, read_at: StorePosition
) -> Changes:
    changes = [Change(one.key, one) for one in _read_objects(told.listed)]
    changes.extend(Change(key, None) for key in told.removed)
    return Changes(read_at.revision, tuple(changes), read_at.era)


def _read_objects(listed: list[list]) -> list[StoredObject]:
    return [
        StoredObject(key, body, uid, version, '')
        for key, body, uid, version in listed
    ]


def _present(changes: Changes) -> list[StoredObject]:
    return [one.stored for one in changes.changes if one.stored is not None]


def _removed(changes: Changes) -> list[str]:
    return [one.key for one in changes.changes if one.stored is None]


def _to_fields(stored: StoredObject) -> list[object]:
    return [stored.key, stored.body, stored.uid, stored.version]

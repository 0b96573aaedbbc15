"""Events about the store that a gateway logs."""

import attrs

from nutmegshore.gateway.severity import Severity

__all__ = (
    'ListingOutdated',
    'ReplicaChanged',
    'StoreAnswerMalformed',
    'StoreEraRejected',
    'StoreLost',
    'StoreRegained',
    'StoreRestored',
)


@attrs.frozen
class ReplicaChanged:
    """Changes of one kind reached this gateway.

    `source` is `watch` or `listing`, or the gateway that passed them on. The
    replica went from revision `previous` to `revision`. `may_lack_entries` says
    whether entries that are gone may have expired in an outage. `age_s` are the
    seconds since the store's answer; `hops` lists the gateways that passed it
    on, each with the age at which it arrived from there.
    """

    severity = Severity.CHANGE

    kind: str
    source: str
    previous: int
    revision: int
    may_lack_entries: bool
    age_s: float
    hops: list


@attrs.frozen
class StoreLost:
    """The store stopped answering for one kind of objects."""

    severity = Severity.CHANGE

    kind: str
    reason: str


@attrs.frozen
class StoreRegained:
    """The store answers again after `away_s` without answers."""

    severity = Severity.CHANGE

    kind: str
    away_s: float


@attrs.frozen
class StoreRestored:
    """The store was restored from an older copy.

    `era` numbers its present history, `previous` the one before. It is below
    `previous` if the store names that one no more: there was no such restore.
    """

    severity = Severity.CHANGE

    era: int
    previous: int


@attrs.frozen
class StoreAnswerMalformed:
    """An answer of the store broke the grammar of HTTP/1.1, and was refused.

    `fault` says in what, and `text` is the start of what came, without the
    text of a field other than a length or a coding.
    """

    severity = Severity.FAILURE

    target: str
    fault: str
    text: str


@attrs.frozen
class StoreEraRejected:
    """An answer of the store names an era that is no number."""

    severity = Severity.CHANGE

    text: str


@attrs.frozen
class ListingOutdated:
    """A listing is older than what is known, and was not applied.

    Logged for the first of several in a row.
    """

    severity = Severity.CHANGE

    kind: str
    era: int
    revision: int
    known_era: int
    known_revision: int

"""Messages between gateways, numbers 80 to 89."""

import attrs

from nutmegshore.peers import QueueRule, message, queue_rule

__all__ = (
    'UNKNOWN_AGE',
    'UNKNOWN_ERA',
    'ConfigurationInForce',
    'LoadReport',
    'LoadSummary',
    'RegionLoadReport',
    'RestoreAnswer',
    'RestoreQuestion',
    'StateChanges',
    'StateNotice',
    'StateRequest',
    'StateReply',
)

#: In place of an era, from gateways that read none in the store's answers.
UNKNOWN_ERA = -1
#: In place of an age, from gateways that do not tell it.
UNKNOWN_AGE = -1

_LOAD_REPORT_NUMBER = 80
_STATE_REQUEST_NUMBER = 81
_STATE_REPLY_NUMBER = 82
_LOAD_SUMMARY_NUMBER = 83
_REGION_LOAD_NUMBER = 84
_STATE_NOTICE_NUMBER = 85
_STATE_CHANGES_NUMBER = 86
_RESTORE_QUESTION_NUMBER = 87
_RESTORE_ANSWER_NUMBER = 88
_CONFIGURATION_IN_FORCE_NUMBER = 89


@message(_LOAD_REPORT_NUMBER)
@attrs.frozen
class LoadReport:
    """Load, readiness and replica positions of one gateway.

    `in_flight` counts requests by upstream, without zeros. `replicas` holds,
    by key prefix, the position in the store, the digest of the objects, the
    seconds since the last listing, and whether peers may use the replica as
    a source. `quarantine_digest` covers the requests that are refused
    because they crash upstreams. `shift_counts` holds two counts of requests
    in the last 2 s: those sent within the region, and those sent elsewhere.
    `traffic` holds, by service, the fields of `ServiceTraffic`, `limits` what
    `LimitGossip` packs, `leaving` what `LeavingGossip` packs, and `cold` what
    `ColdGossip` packs. `eras` holds, by key prefix, the era of the store that
    the position in `replicas` belongs to, and `ages` the seconds since the
    store's answer that the objects come from. `sent_at` is the sender's clock
    as it sent the message, 0 if it does not tell. `answers` holds, by key
    prefix, the fields of `ToldAnswers`, `heard` what `TransitTimes` echoes to
    some peers. `configured` is the version of the configuration in force, 0 if
    the sender does not tell, -1 if it needs the word of others itself. `quotas`
    and `quota_coverage` are what `QuotaGossip` packs.
    """

    is_ready: bool
    in_flight: dict
    replicas: dict
    quarantine_digest: int = 0
    shift_counts: list = attrs.field(factory=list)
    traffic: dict = attrs.field(factory=dict)
    limits: dict = attrs.field(factory=dict)
    eras: dict = attrs.field(factory=dict)
    leaving: dict = attrs.field(factory=dict)
    cold: dict = attrs.field(factory=dict)
    ages: dict = attrs.field(factory=dict)
    sent_at: float = 0
    answers: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    configured: int = 0
    quotas: dict = attrs.field(factory=dict)
    quota_coverage: list = attrs.field(factory=list)


@message(_STATE_REQUEST_NUMBER)
@attrs.frozen
class StateRequest:
    """Requests the changes below a prefix after a position.

    `is_full` requests all objects, for when the changes do not suffice. `era`
    is that of the position, or `UNKNOWN_ERA`.
    """

    prefix: str
    position: int
    is_full: bool = True
    era: int = UNKNOWN_ERA


@message(_STATE_REPLY_NUMBER)
@attrs.frozen
class StateReply:
    """Objects below a prefix as `[key, body, uid, version]`.

    Unless `is_full`, only the objects that changed are listed, and `removed`
    holds the keys of removed ones. `is_after_outage` means that entries may
    still be missing from the store after an outage; only earlier versions read
    it. `era` is that of the position, or `UNKNOWN_ERA`. `age_s` are the seconds
    since the store's answer that the objects come from, -1 if the sender does
    not tell; `hops` are those of its `ReplicaView`, and `sent_at` is as in
    `LoadReport`.
    """

    prefix: str
    position: int
    listed: list
    is_full: bool = True
    removed: list = attrs.field(factory=list)
    is_after_outage: bool = False
    era: int = UNKNOWN_ERA
    age_s: float = UNKNOWN_AGE
    hops: list = attrs.field(factory=list)
    sent_at: float = 0


@message(_STATE_CHANGES_NUMBER)
@attrs.frozen
class StateChanges:
    """Changes below a prefix from the position `base` on, sent unasked.

    Only a replica that is at `base` or later in the era may apply them. The
    other fields are those of `StateReply`.
    """

    prefix: str
    base: int
    position: int
    listed: list
    removed: list = attrs.field(factory=list)
    era: int = UNKNOWN_ERA
    age_s: float = UNKNOWN_AGE
    hops: list = attrs.field(factory=list)
    sent_at: float = 0


@message(_LOAD_SUMMARY_NUMBER)
@attrs.frozen
class LoadSummary:
    """Summary that an aggregator sends to the gateways of its region.

    `ready` names the gateways of the region that accept requests.
    `in_flight` counts the requests of all gateways by upstream. `replicas`
    and `quarantine_digest` describe the aggregator, as in `LoadReport`;
    `shift_counts` and `traffic` are summed over the region, `limits`,
    `leaving` and `cold` are what the aggregator knows, and `eras`, `ages`,
    `sent_at`, `answers`, `heard` and `configured` are as in `LoadReport`.
    `outdated` names the ready gateways that accept no API key. `quotas` and
    `quota_coverage` are what `QuotaGossip` packs, over all regions.
    """

    ready: list
    in_flight: dict
    replicas: dict
    quarantine_digest: int = 0
    shift_counts: list = attrs.field(factory=list)
    traffic: dict = attrs.field(factory=dict)
    limits: dict = attrs.field(factory=dict)
    eras: dict = attrs.field(factory=dict)
    leaving: dict = attrs.field(factory=dict)
    cold: dict = attrs.field(factory=dict)
    ages: dict = attrs.field(factory=dict)
    sent_at: float = 0
    answers: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    configured: int = 0
    outdated: list = attrs.field(factory=list)
    quotas: dict = attrs.field(factory=dict)
    quota_coverage: list = attrs.field(factory=list)


@message(_REGION_LOAD_NUMBER)
@attrs.frozen
class RegionLoadReport:
    """Load of a region, sent to the aggregators of other regions.

    `in_flight` counts the requests of the gateways of `region` by upstream,
    `limits`, `leaving` and `cold` are what `LimitGossip`, `LeavingGossip` and
    `ColdGossip` pack, and `eras`, `ages`, `sent_at`, `answers`, `heard` and
    `configured` are as in `LoadReport`. `quotas` and `quota_coverage` are what
    `QuotaGossip` packs, over `region`.
    """

    region: str
    in_flight: dict
    replicas: dict
    quarantine_digest: int = 0
    limits: dict = attrs.field(factory=dict)
    eras: dict = attrs.field(factory=dict)
    leaving: dict = attrs.field(factory=dict)
    cold: dict = attrs.field(factory=dict)
    ages: dict = attrs.field(factory=dict)
    sent_at: float = 0
    answers: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    configured: int = 0
    quotas: dict = attrs.field(factory=dict)
    quota_coverage: list = attrs.field(factory=list)


@message(_STATE_NOTICE_NUMBER)
@attrs.frozen
class StateNotice:
    """What a gateway knows of the store, sent ahead of its next report.

    The fields are as in `LoadReport`.
    """

    replicas: dict
    eras: dict = attrs.field(factory=dict)
    ages: dict = attrs.field(factory=dict)
    sent_at: float = 0
    answers: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    configured: int = 0


@message(_RESTORE_QUESTION_NUMBER)
@attrs.frozen
class RestoreQuestion:
    """Asks what is held back since a restore, of a gateway that starts.

    `eras` holds, by key prefix, the era of the store that the sender has read,
    0 before its first listing. Each prefix is answered by itself.
    """

    eras: dict


@message(_RESTORE_ANSWER_NUMBER)
@attrs.frozen
class RestoreAnswer:
    """What a gateway holds back below a prefix, in the fields of `HeldBack`.

    Objects are as in `StateReply`. `listed` holds all that the sender knows in
    `era`, unless the question named that era. `era` is `UNKNOWN_ERA` if the
    sender starts as well and has nothing to tell. `age_s` is the age of its
    view.
    """

    prefix: str
    era: int = UNKNOWN_ERA
    listed: list = attrs.field(factory=list)
    kept: list = attrs.field(factory=list)
    revived: list = attrs.field(factory=list)
    held_s: float = 0
    age_s: float = 0


@message(_CONFIGURATION_IN_FORCE_NUMBER)
@attrs.frozen
class ConfigurationInForce:
    """The stored object of the configuration that its sender has in force.

    Sent to a gateway that has an earlier one and cannot read this one, since
    the store was restored.
    """

    key: str
    body: bytes
    uid: str
    version: int


@queue_rule.register
def _(
    body: LoadReport | LoadSummary | RegionLoadReport | StateNotice,
) -> QueueRule:
    return QueueRule(slot=type(body).__name__, expires=True)


@queue_rule.register
def _(body: StateRequest | StateReply) -> QueueRule:
    # The latest request is for all that its sender lacks.
    slot = f'{type(body).__name__} {body.prefix}'
    return QueueRule(slot, expires=True)


@queue_rule.register
def _(body: ConfigurationInForce) -> QueueRule:
    return QueueRule(slot=type(body).__name__, expires=True)


@queue_rule.register
def _(body: StateChanges) -> QueueRule:
    # The receiver requests what is missing before the next changes.
    return QueueRule(expires=True)

"""The trace of one request, with the state of the instance at that time."""

from collections.abc import Iterable, Sequence

import attrs

from nutmegshore.tracing.records import LogRecord

__all__ = ('Story', 'find_story')

#: Event that starts a process; it discards the state of an earlier process.
_PROCESS_START = 'starting'
#: Events that change the state of an instance, with the field that separates
#: several states of one event; the newest line of each is in effect.
_STATE_EVENTS = (
    ('configuration_adopted', ''),
    ('configuration_rejected', ''),
    ('evacuation_changed', ''),
    ('store_lost', 'kind'),
    ('store_regained', 'kind'),
    (_PROCESS_START, ''),
    ('stopping', ''),
    ('started', ''),
)
#: Events that replace the state set by another event: (event, replaced event).
_REPLACED_EVENTS = (('store_regained', 'store_lost'),)
_UPSTREAM_EVENTS = frozenset(('upstream_changed', 'upstream_judged'))
#: Event that classifies a request; a refusal of it names the same digest.
_CLASSIFICATION = 'request_judged'


@attrs.frozen
class Story:
    """Trace of a request at one instance.

    `lines` are the log records of the request. `beliefs` are the records that
    describe the state of the instance just before the last line: those in
    effect that concern every request or an upstream or digest of this one.
    Both are in the order of the instance's log.
    """

    request: str
    instance: str
    lines: tuple[LogRecord, ...]
    beliefs: tuple[LogRecord, ...]

    @property
    def ended_s(self) -> float:
        """Time of the last line in seconds, by the clock of the instance.

        The ages of `beliefs` are relative to it.
        """
        return self.lines[-1].time_s


def find_story(
    records: Sequence[LogRecord],
    request: str,
) -> list[Story]:
    """Find the traces of a request, one per instance that logged it."""
    by_instance: dict[str, list[LogRecord]] = {}
    for record in records:
        if record.get('request') == request:
            by_instance.setdefault(record.instance, []).append(record)
    return [
        Story(
            request,
            instance,
            tuple(lines),
            _state_before(records, instance, lines),
        )
        for instance, lines in by_instance.items()
    ]


def _state_before(
    records: Iterable[LogRecord],
    instance: str,
    lines: Sequence[LogRecord],
) -> tuple[LogRecord, ...]:
    subjects = {name for line in lines for name in _list_subjects(line)}
    in_effect: dict[tuple[str, str], LogRecord] = {}
    for record in records:
        is_earlier = record.number < lines[-1].number
        if record.instance == instance and is_earlier:
            if record.event == _PROCESS_START:
                in_effect.clear()
            state_key = _state_key(record, subjects)
            if state_key is not None:
                in_effect[state_key] = record
    return tuple(sorted(in_effect.values(), key=_number_of))


def _state_key(
    record: LogRecord,
    subjects: set[str],
) -> tuple[str, str] | None:
    """Key of the state that a line sets, or None if it is irrelevant.

    `subjects` are the upstreams and digests that the request's lines name.
    """
    upstream = record.get('upstream')
    if record.event in _UPSTREAM_EVENTS and upstream in subjects:
        return record.event, upstream
    if record.event == _CLASSIFICATION and record.get('digest') in subjects:
        return record.event, str(upstream)
    replaced_events = dict(_REPLACED_EVENTS)
    for event, field in _STATE_EVENTS:
        if record.event == event:
            name = replaced_events.get(event, event)
            return name, str(record.get(field)) if field else ''
    return None


def _list_subjects(line: LogRecord) -> list[str]:
    """List the upstreams and digests that a line names."""
    names = [attempt[0] for attempt in line.get('attempts') or ()]
    names.extend((line.get('upstream'), line.get('detail')))
    return [name for name in names if name]


def _number_of(record: LogRecord) -> int:
    return record.number

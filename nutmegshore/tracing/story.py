"""The story of one request, with what was believed at that moment."""

from collections.abc import Iterable, Sequence

import attrs

from nutmegshore.tracing.records import LogRecord

__all__ = ('Story', 'find_story')

#: Event at which a process begins to believe anything.
_NEW_PROCESS = 'starting'
#: Events that change what an instance believes, with the field that tells
#: which belief it is; the newest line of each is in force.
_BELIEFS = (
    ('configuration_adopted', ''),
    ('configuration_rejected', ''),
    ('evacuation_changed', ''),
    ('store_lost', 'kind'),
    ('store_regained', 'kind'),
    (_NEW_PROCESS, ''),
    ('stopping', ''),
    ('started', ''),
)
#: Beliefs that end an earlier one under another name.
_SAME_BELIEF = (('store_regained', 'store_lost'),)
_UPSTREAM_EVENTS = frozenset(('upstream_changed', 'upstream_judged'))
#: What a request was taken for; its refusal names the same digest.
_VERDICT = 'request_judged'


@attrs.frozen
class Story:
    """Lines of a request, and the beliefs in force before its last line.

    Both are in the order of the instance's own log. Ages are against the last
    line of the request, by the instance's own clock.
    """

    request: str
    instance: str
    lines: tuple[LogRecord, ...]
    beliefs: tuple[LogRecord, ...]

    @property
    def ended_s(self) -> float:
        """Time of the request's last line."""
        return self.lines[-1].time_s


def find_story(
    records: Sequence[LogRecord],
    request: str,
) -> list[Story]:
    """Stories of a request, one for each instance that logged it."""
    by_instance: dict[str, list[LogRecord]] = {}
    for record in records:
        if record.get('request') == request:
            by_instance.setdefault(record.instance, []).append(record)
    return [
        Story(
            request,
            instance,
            tuple(lines),
            _beliefs_before(records, instance, lines),
        )
        for instance, lines in by_instance.items()
    ]


def _beliefs_before(
    records: Iterable[LogRecord],
    instance: str,
    lines: Sequence[LogRecord],
) -> tuple[LogRecord, ...]:
    concerned = {name for line in lines for name in _names_of(line)}
    in_force: dict[tuple[str, str], LogRecord] = {}
    for record in records:
        is_before = record.number < lines[-1].number
        if record.instance == instance and is_before:
            if record.event == _NEW_PROCESS:
                in_force.clear()
            belief = _belief_of(record, concerned)
            if belief is not None:
                in_force[belief] = record
    return tuple(sorted(in_force.values(), key=_number_of))


def _belief_of(
    record: LogRecord,
    concerned: set[str],
) -> tuple[str, str] | None:
    """What a line is about, if it matters for the request.

    `concerned` are the upstreams and digests that the request's lines name.
    """
    upstream = record.get('upstream')
    if record.event in _UPSTREAM_EVENTS and upstream in concerned:
        return record.event, upstream
    if record.event == _VERDICT and record.get('digest') in concerned:
        return record.event, str(upstream)
    renamed = dict(_SAME_BELIEF)
    for event, field in _BELIEFS:
        if record.event == event:
            name = renamed.get(event, event)
            return name, str(record.get(field)) if field else ''
    return None


def _names_of(line: LogRecord) -> list[str]:
    """Upstreams and digests that a line names."""
    named = [attempt[0] for attempt in line.get('attempts') or ()]
    named.extend((line.get('upstream'), line.get('detail')))
    return [name for name in named if name]


def _number_of(record: LogRecord) -> int:
    return record.number

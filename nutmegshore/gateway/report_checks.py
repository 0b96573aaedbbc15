"""Checks of what reports of peers contain, before any of it is kept."""

import math
from collections.abc import Mapping
from typing import Any

import attrs

from nutmegshore.balancing.quota_counts import Count
from nutmegshore.balancing.service_traffic import ServiceTraffic
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RegionLoadReport,
    RestoreAnswer,
    StateChanges,
    StateNotice,
    StateReply,
)
from nutmegshore.gateway.store_outages import ToldAnswers

__all__ = ('check_answer', 'check_notice', 'check_objects', 'check_report')

#: Position, digest and age of a replica; more may follow.
_MIN_REPLICA_FIELDS = 3
#: Rate and age of a limit; more may follow.
_MIN_LIMIT_FIELDS = 2
#: Start, age and rest of a cold start; more may follow.
_MIN_COLD_FIELDS = 3
#: Clock as an echoed message was sent, and the seconds since; more may follow.
_MIN_HEARD_FIELDS = 2
_ANSWERS_FIELDS = len(attrs.fields(ToldAnswers))
_QUOTA_FIELDS = len(Count._fields)
_TRAFFIC_FIELDS = len(attrs.fields(ServiceTraffic))
#: Integers in messages have at most this many bits.
_NUMBER_BITS = 64
_MAX_NUMBER = 2**_NUMBER_BITS


def check_report(report: LoadReport | LoadSummary | RegionLoadReport) -> None:
    """Raise `LinkError` if a field has a part of another type.

    Fields that later versions add to a list are not looked at.
    """
    _check_counts(report.in_flight)
    _check_replicas(report)
    _check_lists(report.limits, _MIN_LIMIT_FIELDS, _MIN_LIMIT_FIELDS)
    _check_lists(report.cold, _MIN_COLD_FIELDS, _MIN_COLD_FIELDS)
    _check_lists(report.quotas, 0, _QUOTA_FIELDS)
    _check_numbers(report.quota_coverage)
    if isinstance(report, RegionLoadReport):
        return
    _check_lists(report.traffic, 0, _TRAFFIC_FIELDS)
    _check_numbers(report.shift_counts)
    if isinstance(report, LoadSummary):
        named = (*report.ready, *report.outdated)
        _check(all(isinstance(name, str) for name in named), 'ready')


def check_notice(notice: StateNotice) -> None:
    """Raise `LinkError` if a replica's fields are of another type."""
    _check_replicas(notice)


def check_objects(told: StateReply | StateChanges) -> None:
    """Raise `LinkError` if an age or a time is no finite number."""
    _check_numbers([told.age_s, told.sent_at])


def check_answer(answer: RestoreAnswer) -> None:
    """Raise `LinkError` if an age is no finite number."""
    _check_numbers([answer.age_s, answer.held_s])


def _check_replicas(
    summary: LoadReport | LoadSummary | RegionLoadReport | StateNotice,
) -> None:
    _check_lists(summary.replicas, _MIN_REPLICA_FIELDS, _MIN_REPLICA_FIELDS)
    _check_lists(summary.answers, _ANSWERS_FIELDS, _ANSWERS_FIELDS)
    _check_names(summary.ages)
    _check_lists(summary.heard, _MIN_HEARD_FIELDS, _MIN_HEARD_FIELDS)
    _check_numbers(
        [*summary.ages.values(), summary.sent_at, summary.configured]
    )


def _check_counts(by_name: Mapping[Any, Any]) -> None:
    _check_names(by_name)
    for count in by_name.values():
        _check(isinstance(count, int) and _is_number(count), 'a count')


def _check_lists(by_name: Mapping[Any, Any], least: int, known: int) -> None:
    """Check lists of `least` or more fields, of which `known` are read."""
    _check_names(by_name)
    for numbers in by_name.values():
        _check(isinstance(numbers, list) and len(numbers) >= least, 'a list')
        _check_numbers(numbers[:known])


def _check_numbers(numbers: list[Any]) -> None:
    _check(all(_is_number(number) for number in numbers), 'a number')


def _check_names(by_name: Mapping[Any, Any]) -> None:
    _check(all(isinstance(name, str) for name in by_name), 'a name')


def _is_number(raw: Any) -> bool:
    is_number = isinstance(raw, int | float)
    return is_number and math.isfinite(raw) and abs(raw) < _MAX_NUMBER


def _check(is_valid: object, subject: str) -> None:
    if not is_valid:
        raise LinkError(ErrorKind.MALFORMED_FRAME, f'{subject} expected')

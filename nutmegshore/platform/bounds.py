"""Bounds that the platform's settings define."""

import math
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from nutmegshore.errors import PlatformFormatError

__all__ = ('Bounds', 'parse_bounds')


@attrs.frozen
class Bounds:
    """Limits that all instances together respect; times in seconds.

    Retries of a service stay below `retry_ratio` of its requests plus
    `extra_retries` in any `retry_window_s`. A cold upstream receives at most
    `cold_factor` times its rate plus `cold_slack` requests per second. At
    most `max_shift` of a region's requests move to another region within
    2 s. In any `quota_window_s`, a customer's requests stay within its quota
    times 1 plus `quota_overage`, plus `quota_slack`. A shutdown lasts
    `grace_s`, and the answer to a lookup is valid for at most `max_lookup_s`.
    If `is_revoke_strict`, no request that its caller sends later than
    `revoke_s` after the removal of its API key runs.
    """

    drain_s: float = 2
    grace_s: float = 6
    configuration_s: float = 2
    evacuation_s: float = 5
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    extra_retries: float = 50
    cold_factor: float = 1.5
    cold_slack: float = 5
    max_shift: float = 0.15
    max_lookup_s: float = 5
    is_revoke_strict: bool = False
    revoke_s: float = 5
    quota_window_s: float = 5
    quota_overage: float = 0.1
    quota_slack: float = 20


_SETTING_NAMES = (
    ('drain_s', 'DrainS'),
    ('grace_s', 'GraceS'),
    ('configuration_s', 'ConfigApplyS'),
    ('evacuation_s', 'EvacuateS'),
    ('retry_ratio', 'BudgetRatio'),
    ('retry_window_s', 'BudgetWindowS'),
    ('extra_retries', 'BudgetExtraRetries'),
    ('cold_factor', 'ColdOver'),
    ('cold_slack', 'ColdSlack'),
    ('max_shift', 'MaxShift'),
    ('max_lookup_s', 'ttl_max_s'),
    ('revoke_s', 'RevokeS'),
    ('quota_window_s', 'QuotaWindowS'),
    ('quota_overage', 'QuotaOverage'),
    ('quota_slack', 'QuotaSlack'),
)
_FLAG_NAMES = (('is_revoke_strict', 'StrictRevoke'),)
_FLAGS = MappingProxyType({'true': True, '1': True, 'false': False, '0': False})


def parse_bounds(texts_by_name: Mapping[str, str]) -> Bounds:
    """Parse the known settings; ignore others and default absent ones.

    Raises `PlatformFormatError` for a value that is not a finite number of 0
    or more, or for a flag that is neither true nor false.
    """
    parsers = ((_SETTING_NAMES, _parse_bound), (_FLAG_NAMES, _parse_flag))
    return Bounds(
        **{
            field: parse(setting, texts_by_name[setting])
            for names, parse in parsers
            for field, setting in names
            if setting in texts_by_name
        },
    )


def _parse_bound(setting: str, text: str) -> float:
    try:
        bound = float(text)
    except ValueError as failure:
        raise PlatformFormatError(f'{setting}: {text}') from failure
    if not (math.isfinite(bound) and bound >= 0):
        raise PlatformFormatError(f'{setting}: {text}')
    return bound


def _parse_flag(setting: str, text: str) -> bool:
    flag = _FLAGS.get(text.strip().lower())
    if flag is None:
        raise PlatformFormatError(f'{setting}: {text}')
    return flag

"""Events about API keys that a gateway logs."""

import attrs

from nutmegshore.gateway.severity import Severity

__all__ = ('KeysOutdated', 'KeysTrusted')


@attrs.frozen
class KeysOutdated:
    """Requests with API keys are refused from now on.

    The configuration may be `age_s` seconds old (-1: unknown), `limit_s` are
    allowed. `is_behind` says that another gateway has a later one in force
    that the store does not show.
    """

    severity = Severity.CHANGE

    age_s: float
    limit_s: float
    is_behind: bool


@attrs.frozen
class KeysTrusted:
    """API keys are accepted again after `lasted_s`.

    `refused` requests were refused meanwhile, `age_s` is the age now.
    """

    severity = Severity.CHANGE

    age_s: float
    lasted_s: float
    refused: int

"""Which other gateways have a configuration too old for API keys."""

from collections.abc import Callable, Iterable, Mapping

from nutmegshore.platform.configuration import CONFIGURATION_PREFIX

__all__ = ('KeyReports',)


def _is_never_old(age_s: float) -> bool:
    return False


class KeyReports:
    """Collects from reports and summaries who accepts no key.

    In a large fleet gateways hear this of each other from their aggregators.
    `is_too_old` tells which age of the configuration is too great.

        reports = KeyReports()
        reports.handle_report('gateway-3', {'config/': 6.5}, 0.2)
        reports.is_outdated('gateway-3')
    """

    def __init__(self) -> None:
        """Start without reports; no age is too great."""
        self.is_too_old: Callable[[float], bool] = _is_never_old
        self._outdated: set[str] = set()

    def is_outdated(self, name: str) -> bool:
        """Whether a gateway told last that it accepts no key."""
        return name in self._outdated

    def handle_report(
        self, name: str, ages: Mapping[str, float], transit_s: float
    ) -> None:
        """Record the ages in a gateway's own report."""
        age_s = ages.get(CONFIGURATION_PREFIX, 0) + transit_s
        if self.is_too_old(age_s):
            self._outdated.add(name)
        else:
            self._outdated.discard(name)

    def handle_summary(
        self, ready: Iterable[str], outdated: Iterable[str]
    ) -> None:
        """Record what an aggregator tells of the ready gateways."""
        self._outdated.difference_update(ready)
        self._outdated.update(outdated)

    def among(self, names: Iterable[str]) -> list[str]:
        """Return those of the named gateways that believe no key."""
        return [name for name in names if name in self._outdated]

    def retain(self, names: Iterable[str]) -> None:
        """Forget the gateways that are gone."""
        self._outdated.intersection_update(names)

"""What cold upstreams get of all gateways, and how much of their rate is used.

Both figures of each case belong together: a limit that holds because nothing
is sent serves nobody.
"""

from bench.cold_cases import cold_cases
from bench.cold_load import ColdFleet, play_cold
from bench.measure import Findings, Measure

__all__ = ('measure',)

#: `cold_factor` and `cold_slack` of the default settings.
_FACTOR = 1.5
_SLACK = 5


def measure(seed: int) -> Findings:
    """Play each case of the model."""
    return Findings(
        measures=tuple(
            found
            for name, fleet in cold_cases()
            for found in _play(name, fleet, seed)
        )
    )


def _play(name: str, fleet: ColdFleet, seed: int) -> tuple[Measure, Measure]:
    result = play_cold(fleet, seed)
    bound = _FACTOR * fleet.cold_per_s + _SLACK
    worst = result.worst()
    used = result.used_fraction(fleet.cold_s, fleet.cold_per_s)
    return (
        Measure(
            f'cold_{name}_worst',
            worst,
            'requests in a second',
            f'at most {bound}',
            seed,
            worst <= bound,
        ),
        Measure(f'cold_{name}_used', used, 'of the rate', 'much', seed),
    )

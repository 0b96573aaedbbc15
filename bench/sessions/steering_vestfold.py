"""Latency and headroom of the steering decisions in Vestfold."""

from bench.measure import Findings
from bench.steering_deployments import VESTFOLD
from bench.steering_latency import measure_latency

__all__ = ('measure',)


def measure(seed: int) -> Findings:
    """Compare with round robin, least reported load and nearest region."""
    return measure_latency(VESTFOLD, seed)

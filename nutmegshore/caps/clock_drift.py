"""Durations that stay safe although instances' clocks drift apart."""

__all__ = (
    'MAX_CLOCK_ERROR',
    'MAX_SEND_DELAY_S',
    'WINDOW_S',
    'add_drift_margin',
)

#: Largest deviation of a clock's rate that the caps tolerate. Clocks are
#: specified to 0.5%; the remainder is a margin for rounding.
MAX_CLOCK_ERROR = 0.0055
#: Longest delay in seconds from acquiring a unit to sending the request.
MAX_SEND_DELAY_S = 0.005
#: Local seconds that cover one true second and the send delay even on the
#: fastest clock.
WINDOW_S = 1.011


def add_drift_margin(seconds: float) -> float:
    """Return local seconds that outlast `seconds` of any other clock.

    One clock can be slow while the other is fast, so that the errors add up:
    two clocks with an error of 0.5% each differ by more than 1%.

        add_drift_margin(600)  # 606.6
    """
    return seconds * (1 + MAX_CLOCK_ERROR) / (1 - MAX_CLOCK_ERROR)

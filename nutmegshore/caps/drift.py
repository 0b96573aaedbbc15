"""Times that hold although the clocks of two instances differ."""

__all__ = ('CLOCK_ERROR', 'SEND_S', 'WINDOW_S', 'outlast')

#: Largest deviation of a clock's rate that the caps tolerate. Clocks are
#: specified to 0.5%; the rest is margin for rounding.
CLOCK_ERROR = 0.0055
#: Longest time from taking a unit until the request is sent.
SEND_S = 0.005
#: Own seconds that cover a true second on the fastest clock, with SEND_S.
WINDOW_S = 1.011


def outlast(seconds: float) -> float:
    """Own seconds that surely last as long as another clock's seconds.

    One clock can be slow while the other is fast, so that the errors add up:
    two clocks at 0.5% differ by more than 1%.

        outlast(600)  # 606.6
    """
    return seconds * (1 + CLOCK_ERROR) / (1 - CLOCK_ERROR)

"""What counters tell of faults of the program's own code."""

from nutmegshore.counters import Counters, Labels

__all__ = ('FAULT_METRICS', 'list_fault_counts')

#: Counters that stay at 0 unless code raised an unexpected exception.
FAULT_METRICS = (
    'internal_faults',
    'message_failures',
    'task_failures',
    'task_restarts',
)


def list_fault_counts(counters: Counters) -> list[str]:
    """List the series of faults that are above 0, in order.

        list_fault_counts(counters)  # ['internal_faults part=log: 2']

    An empty list means that nothing failed unexpectedly.
    """
    return sorted(
        _describe(name, labels, count)
        for (name, labels), count in counters.totals.items()
        if name in FAULT_METRICS and count
    )


def _describe(name: str, labels: Labels, count: int) -> str:
    pairs = [f'{label}={text}' for label, text in labels]
    series = ' '.join((name, *pairs))
    return f'{series}: {count}'

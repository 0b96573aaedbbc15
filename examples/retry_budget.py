"""A retry budget that lets less than a tenth of the requests be repeated."""

from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.steering.retry import RetryBudget

clock = SystemClock()
budget = RetryBudget(clock, Counters())
retries = 0
for _ in range(100):
    budget.record_request()
    deadline = clock.now() + 1
    retries += budget.try_acquire('upstream_lost', tried=1, deadline=deadline)
print(retries)

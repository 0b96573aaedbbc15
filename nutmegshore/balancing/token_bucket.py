"""A token bucket whose rate may change."""

import attrs

__all__ = ('TokenBucket',)


@attrs.define
class TokenBucket:
    """Tokens that accumulate over time; each request takes one.

        bucket.refill(clock.now(), rate=2, burst=1)
        if bucket.tokens >= 1:
            bucket.take()

    `refilled_at` is a reading of the owner's clock, `full_s` the seconds for
    which the bucket has been full.
    """

    tokens: float
    refilled_at: float
    full_s: float = 0

    def refill(self, now: float, rate: float, burst: float) -> None:
        """Add the tokens since the last refill, up to `burst`.

        `rate` is the number of tokens per second.
        """
        elapsed_s = now - self.refilled_at
        tokens = self.tokens + elapsed_s * rate
        if self.tokens >= burst:
            self.full_s += elapsed_s
        elif tokens >= burst:
            self.full_s = (tokens - burst) / rate
        else:
            self.full_s = 0
        self.tokens = min(tokens, burst)
        self.refilled_at = now

    def take(self) -> None:
        """Take the token of one request."""
        self.tokens -= 1
        self.full_s = 0

"""Token bucket with a variable rate."""

import attrs

__all__ = ["TokenBucket"]

BURST_SECONDS = 1.0


@attrs.define(kw_only=True)
class TokenBucket:
    """Token bucket that holds the tokens of ``BURST_SECONDS``, and at least one.

    Attributes
    ----------
    rate : float
        Tokens per second.
    updated_at : float
        Time in seconds at which ``tokens`` was computed.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, tokens=1.0, updated_at=0.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
    (0.0, 0.5, 0.0)
    """

    rate: float
    tokens: float
    updated_at: float

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        self.change_rate(self.rate, now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate else float("inf")

    def change_rate(self, rate: float, now: float) -> None:
        """Refill the bucket up to ``now`` and change the rate from then on."""
        burst = max(1.0, self.rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        self.rate = rate

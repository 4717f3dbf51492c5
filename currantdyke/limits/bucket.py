"""A token bucket whose rate may change."""

import attrs

__all__ = ["TokenBucket"]

BURST_SECONDS = 1.0


@attrs.define(kw_only=True)
class TokenBucket:
    """Tokens that come in at a rate and are kept for a while.

    Attributes
    ----------
    rate : float
        Tokens a second.
    at : float
        When ``tokens`` was right.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, tokens=1.0, at=0.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
    (0.0, 0.5, 0.0)
    """

    rate: float
    tokens: float
    at: float

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        self.change_rate(self.rate, now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate else float("inf")

    def change_rate(self, rate: float, now: float) -> None:
        """Let tokens come in at another rate from now on."""
        burst = max(1.0, self.rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        self.rate = rate

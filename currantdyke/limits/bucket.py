"""Token bucket with a variable rate."""

import attrs

__all__ = ["TokenBucket"]

BURST_SECONDS = 1.0


@attrs.define(kw_only=True)
class TokenBucket:
    """Token bucket, by default for the tokens of ``BURST_SECONDS`` and at least one.

    Attributes
    ----------
    rate : float
        Tokens per second.
    tokens : float
        Available tokens; none can be taken until a negative number is refilled.
    updated_at : float
        Time in seconds at which ``tokens`` was computed.
    capacity : float or None
        Maximum number of tokens; None for the default.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, tokens=1.0, updated_at=0.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
    (0.0, 0.5, 0.0)
    """

    rate: float
    tokens: float
    updated_at: float
    capacity: float | None = None

    def take(self, now: float, *, reserve: float = 0.0) -> float:
        """Take a token; return 0, or the seconds until one is available.

        Parameters
        ----------
        reserve : float
            Tokens that must be left.
        """
        wait = self.wait(now, reserve=reserve)
        if not wait:
            self.tokens -= 1.0
        return wait

    def wait(self, now: float, *, reserve: float = 0.0) -> float:
        """Return the seconds until a token can be taken."""
        self.change_rate(self.rate, now)
        missing = 1.0 + reserve - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate else float("inf")

    def change_rate(self, rate: float, now: float) -> None:
        """Refill the bucket up to ``now`` and change the rate from then on."""
        burst = self.capacity
        if burst is None:
            burst = max(1.0, self.rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        self.rate = rate

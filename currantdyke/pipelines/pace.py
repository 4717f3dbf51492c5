"""Measurement of the time per token of a stream."""

from collections.abc import Callable

import anyio

from currantdyke.endpoints import Endpoint

__all__ = ["StreamPaceMeter"]

MIN_WINDOW_SECONDS = 0.2


class StreamPaceMeter:
    """Meter that updates an endpoint's time per token while a stream runs.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint that sends the stream.
    deliver : callable
        Called with each token.
    on_measurement : callable
        Called after each update with the number of tokens that this meter delivered
        before the current one; an earlier attempt's tokens are not counted.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        deliver: Callable[[str], None],
        on_measurement: Callable[[int], None],
    ):
        self.endpoint = endpoint
        self.deliver = deliver
        self.on_measurement = on_measurement
        self.tokens = 0
        self.window_start_tokens = 0
        self.window_started_at = 0.0

    def on_token(self, text: str) -> None:
        """Deliver a token, and update the endpoint once a window is full."""
        self.deliver(text)
        now = anyio.current_time()
        if self.tokens == 0:
            self.window_started_at = now
        elapsed = now - self.window_started_at
        if elapsed >= MIN_WINDOW_SECONDS:
            pace = elapsed / (self.tokens - self.window_start_tokens)
            self.endpoint.observe_pace(pace, now)
            self.window_started_at = now
            self.window_start_tokens = self.tokens
            self.on_measurement(self.tokens)
        self.tokens += 1

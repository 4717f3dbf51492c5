"""How fast a stream's tokens come."""

from collections.abc import Callable

import anyio

from currantdyke.endpoints import Endpoint

__all__ = ["StreamPace"]

MIN_WINDOW_SECONDS = 0.2


class StreamPace:
    """Tells an endpoint its pace while a stream runs.

    Parameters
    ----------
    endpoint : Endpoint
        Where the stream comes from.
    deliver : callable
        Gets each token.
    on_window : callable
        Called with the tokens seen whenever the pace was told.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        deliver: Callable[[str], None],
        on_window: Callable[[int], None],
    ):
        self.endpoint = endpoint
        self.deliver = deliver
        self.on_window = on_window
        self.tokens = 0
        self.marked_tokens = 0
        self.marked_at = 0.0

    def take(self, text: str) -> None:
        """Pass a token on and see how long the last ones took."""
        self.deliver(text)
        now = anyio.current_time()
        if self.tokens == 0:
            self.marked_at = now
        elapsed = now - self.marked_at
        if elapsed >= MIN_WINDOW_SECONDS:
            pace = elapsed / (self.tokens - self.marked_tokens)
            self.endpoint.observe_pace(pace, now)
            self.marked_at = now
            self.marked_tokens = self.tokens
            self.on_window(self.tokens)
        self.tokens += 1

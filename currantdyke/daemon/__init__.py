"""Assembly, startup and shutdown of a daemon."""

from currantdyke.daemon.daemon import Daemon
from currantdyke.daemon.listen import Listener, open_listener, serve_http
from currantdyke.daemon.serve import RunningDaemon, serve

__all__ = [
    "Daemon",
    "Listener",
    "RunningDaemon",
    "open_listener",
    "serve",
    "serve_http",
]

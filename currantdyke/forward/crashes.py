"""Detection of requests that crash endpoints, shared among all daemons."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog

__all__ = ["CrashTable", "CrashDetector"]

# Number of endpoints that must crash before copies of a request are refused; the users
# allow at most three retries after the third crash.
MAX_CRASHES = 3
# Older crashes are not counted. A crashed endpoint restarts after some seconds, and its
# request is resent within about the same time.
CRASH_RETENTION_SECONDS = 120.0
MAX_FINGERPRINTS = 4_096
# Delay before a probe; an endpoint that only lost a connection accepts a new one by
# then.
PROBE_DELAY_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class CrashTable:
    """Endpoints that crashed while running a request, by the request's fingerprint.

    Examples
    --------
    >>> table = CrashTable(now=lambda: 0.0)
    >>> for endpoint in ("a", "b", "b", "c"): table.record("f", endpoint)
    >>> table.is_quarantined("f"), table.is_quarantined("g")
    (True, False)
    >>> table.clear("f")
    >>> table.is_quarantined("f")
    False
    """

    now: Callable[[], float]
    crashes: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record(self, fingerprint: str, endpoint: str) -> None:
        """Record a crash that this daemon or another one has detected."""
        self.crashes.setdefault(fingerprint, {})[endpoint] = self.now()
        while len(self.crashes) > MAX_FINGERPRINTS:
            del self.crashes[next(iter(self.crashes))]

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request, since an endpoint served a copy of it."""
        self.crashes.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether copies of a request are refused."""
        seen = self.crashes.get(fingerprint)
        if seen is None:
            return False
        oldest = self.now() - CRASH_RETENTION_SECONDS
        return sum(at > oldest for at in seen.values()) >= MAX_CRASHES


@attrs.define(kw_only=True, eq=False)
class CrashDetector:
    """Distinguishes crashed endpoints from lost connections.

    Attributes
    ----------
    broadcast_crash : callable
        Called with the fingerprint and the endpoint of a crash.
    """

    table: CrashTable
    log: DecisionLog
    broadcast_crash: Callable[[str, str], None]
    tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run probes of endpoints until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await anyio.sleep_forever()

    def start_probe(self, fingerprint: str, endpoint: Endpoint) -> None:
        """Start a probe of an endpoint that gave no complete, valid response."""
        if self.tasks is not None:
            self.tasks.start_soon(self._probe, fingerprint, endpoint)

    async def _probe(self, fingerprint: str, endpoint: Endpoint) -> None:
        await anyio.sleep(PROBE_DELAY_SECONDS)
        host, _, port = endpoint.address.rpartition(":")
        try:
            with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(host, int(port))
            await anyio.aclose_forcefully(stream)
        except (OSError, TimeoutError):
            self.table.record(fingerprint, endpoint.instance)
            self.broadcast_crash(fingerprint, endpoint.instance)
            self.log.write(
                "endpoint_crashed",
                failure=True,
                endpoint=endpoint.instance,
                fingerprint=fingerprint,
                refused=self.table.is_quarantined(fingerprint),
            )

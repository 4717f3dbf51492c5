"""Versions of streams and of services, as one daemon knows them."""

import collections
import math
from collections.abc import Callable

import attrs
import xxhash

from currantdyke.catalog import Endpoint

__all__ = ["RETENTION_SECONDS", "ServiceVersions", "StreamTable", "digest_of"]

# A caller that waits until its deadline, 15 s, resumes a stream within this time.
RETENTION_SECONDS = 60.0


def digest_of(attempt_id: str) -> int:
    """Return the digest by which daemons know an attempt."""
    return xxhash.xxh64_intdigest(attempt_id.encode("latin-1"))


@attrs.frozen(kw_only=True)
class StreamVersion:
    """The version that began a stream.

    Attributes
    ----------
    version : str or None
        None if engines of several versions began streams of the same attempt.
    service : str
        Empty if this daemon neither began it nor is a backup of the one that did.
    until : float
        Monotonic time in seconds at which it is forgotten.
    """

    version: str | None
    service: str
    until: float


@attrs.define(kw_only=True, eq=False)
class StreamTable:
    """Versions of recent streams, by the digest of the attempt that began each.

    Attributes
    ----------
    now : callable
        Returns the monotonic time in seconds.
    streams : OrderedDict of int to StreamVersion
        The stream that was recorded first comes first.
    """

    now: Callable[[], float]
    streams: collections.OrderedDict[int, StreamVersion] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, digest: int, version: str | None, service: str = "") -> None:
        """Record that an engine of a version began a stream, or goes on with it."""
        now = self.now()
        while self.streams and next(iter(self.streams.values())).until < now:
            self.streams.popitem(last=False)
        known = self.streams.pop(digest, None)
        if known is not None:
            service = service or known.service
            if known.version != version:
                version = None
        self.streams[digest] = StreamVersion(
            version=version, service=service, until=now + RETENTION_SECONDS
        )

    def find(self, digest: int) -> StreamVersion | None:
        """Return what is known of a stream, or None."""
        known = self.streams.get(digest)
        if known is None or known.until < self.now():
            return None
        return known

    def by_service(self) -> dict[str, list[tuple[int, str]]]:
        """Return digests and versions of the streams that one version began.

        Returns
        -------
        dict
            By service; streams of which this daemon is only asked are under "".
        """
        now = self.now()
        found: dict[str, list[tuple[int, str]]] = {}
        for digest, stream in self.streams.items():
            if stream.until >= now and stream.version is not None:
                found.setdefault(stream.service, []).append((digest, stream.version))
        return found


@attrs.define(kw_only=True, eq=False)
class ServiceVersions:
    """The versions of each service's announced endpoints, and when each was last there.

    Attributes
    ----------
    announced : dict of str to (str, str)
        Service and version of the endpoints by instance, also of those that leave.
    last_seen : dict of str to dict of str to float
        By service and version; infinite while there are endpoints.
    """

    now: Callable[[], float]
    announced: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    last_seen: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def update(self, instance: str, endpoint: Endpoint | None) -> None:
        """Follow the announcement or the removal of an endpoint."""
        before = self.announced.pop(instance, None)
        if endpoint is not None:
            after = endpoint.service, endpoint.version
            self.announced[instance] = after
            self.last_seen.setdefault(after[0], {})[after[1]] = math.inf
        if before is not None and before not in self.announced.values():
            self.last_seen[before[0]][before[1]] = self.now()

    def recent(self, service: str) -> list[str]:
        """Return the versions that the service has, or had until recently."""
        oldest = self.now() - RETENTION_SECONDS
        seen = self.last_seen.get(service, {})
        for version in [v for v, at in seen.items() if at < oldest]:
            del seen[version]
        return list(seen)

    def services_with_several(self) -> list[str]:
        """Return the services that have, or recently had, several versions."""
        return [name for name in list(self.last_seen) if len(self.recent(name)) > 1]

"""Messages between daemons about the versions that began streams."""

import attrs

__all__ = ["StreamVersions", "VersionAnswer", "VersionRequest"]


@attrs.frozen(kw_only=True)
class StreamVersions:
    """Reports the versions that began streams.

    Attributes
    ----------
    versions : tuple of str
        The versions, each once.
    streams : tuple of (int, int)
        64-bit digest of each stream's attempt id, and the number of its version.
    service : str
        The service of the streams, if the receiver is a backup of the sender; empty if
        it is the daemon that is asked for them.
    """

    versions: tuple[str, ...]
    streams: tuple[tuple[int, int], ...]
    service: str = ""


@attrs.frozen(kw_only=True)
class VersionRequest:
    """Asks which version began a stream of a service."""

    digest: int
    service: str


@attrs.frozen(kw_only=True)
class VersionAnswer:
    """What a daemon knows of the version that began a stream.

    Attributes
    ----------
    known : bool
        Whether it knows the stream.
    version : str or None
        The version; None if engines of several versions began it.
    several : bool
        Whether the service has engines of several versions, or had until recently.
    """

    known: bool
    version: str | None = None
    several: bool = False

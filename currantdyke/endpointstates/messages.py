"""Messages between daemons about what endpoints say of themselves."""

import attrs

__all__ = ["EndpointLeaving", "EndpointPaused"]


@attrs.frozen(kw_only=True)
class EndpointLeaving:
    """Reports an endpoint that says that it is leaving.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime, with which the report ends.
    """

    instance: str
    born: int


@attrs.frozen(kw_only=True)
class EndpointPaused:
    """Tells a daemon that an endpoint wants nothing from it for ``seconds``.

    The endpoint has said so in an answer that went through the daemon's tunnel.
    """

    instance: str
    born: int
    seconds: float

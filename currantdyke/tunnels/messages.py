"""Messages that open a tunnel; see docs/design/tunnels.md."""

import enum

import attrs

__all__ = ["TUNNEL_PREFIX", "TunnelAnswer", "TunnelRequest", "TunnelResult"]

# Begins a connection that is a tunnel and no link. As the length of a frame it is over
# every limit, so that a daemon of an earlier build closes the connection.
TUNNEL_PREFIX = b"TUN1"


class TunnelResult(enum.IntEnum):
    """What a daemon answers that is asked for a tunnel.

    ``REFUSED``: nothing listens there, and it reaches other endpoints. ``UNREACHED``:
    it got no connection, for whatever reason. ``CUT_OFF``: it reaches no endpoint
    itself. ``UNWILLING``: it is busy or stopping, or the endpoint may get no requests
    from it.
    """

    CONNECTED = 0
    REFUSED = 1
    UNREACHED = 2
    CUT_OFF = 3
    UNWILLING = 4


@attrs.frozen(kw_only=True)
class TunnelRequest:
    """Asks for a connection to an endpoint.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime.
    """

    instance: str
    born: int


@attrs.frozen(kw_only=True)
class TunnelAnswer:
    """Response to a `TunnelRequest`; if connected, the endpoint's bytes follow."""

    result: TunnelResult

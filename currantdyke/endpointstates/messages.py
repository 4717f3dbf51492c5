"""Messages between daemons about what endpoints say of themselves."""

import attrs

__all__ = ["EndpointLeaving"]


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

"""Messages between daemons about the limits that endpoints name."""

import attrs

__all__ = ["LimitReport", "TokenGrant", "TokenRequest"]


@attrs.frozen(kw_only=True)
class LimitReport:
    """Reports a limit that an endpoint named, changed or dropped.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime; a limit does not outlast it.
    rate : float or None
        Requests per second; None if the endpoint names no limit any more.
    sent_age, age : float
        Seconds since the request was sent whose answer says so, and since the answer.
    """

    instance: str
    born: int
    rate: float | None
    sent_age: float = 0.0
    age: float = 0.0


@attrs.frozen(kw_only=True)
class TokenRequest:
    """Asks the owner of an endpoint's limit whether a request may be sent there.

    Attributes
    ----------
    rate, age : float
        The limit that the sender knows, which an owner that has restarted learns from
        it, and the seconds since the endpoint named it.
    sheddable : bool
        Whether more urgent requests may need the endpoint.
    forwarded : bool
        Whether a daemon that is not the owner has passed it on.
    cold_remaining : float
        Seconds for which the endpoint stays cold, if the rate is that of a cold
        endpoint; 0 if the endpoint named it.
    """

    instance: str
    service: str
    born: int
    rate: float
    age: float
    sheddable: bool = False
    forwarded: bool = False
    cold_remaining: float = 0.0


@attrs.frozen(kw_only=True)
class TokenGrant:
    """Response to a `TokenRequest`.

    Attributes
    ----------
    wait : float
        Seconds after which the sender may ask again; 0 if the request may be sent.
    limited : bool
        Whether the endpoint names a limit.
    age : float
        Seconds since it dropped its limit, if it has.
    """

    wait: float
    limited: bool = True
    age: float = 0.0

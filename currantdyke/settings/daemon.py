"""Settings that a daemon reads from its own YAML file."""

import attrs
from expression import Result

from currantdyke.documents import Problem, check_document
from currantdyke.documents.validators import between, one_of, valid_name
from currantdyke.logs.setup import LOG_FORMATS

__all__ = ["DaemonSettings", "check_settings"]


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """The settings of one daemon; everything shared is in the bundle.

    Attributes
    ----------
    name : str
        Name of the daemon, which is part of request ids.
    availability_zone, region : str
        Availability zone and region of its VM.
    address : str
        IP address that it listens on and is reached at.
    callers_port, operators_port : int
        Ports of the two HTTP APIs; 0 selects any free port.
    bundle_file : str
        File that holds the bundle; a changed file is loaded again.
    max_requests_in_flight : int
        Maximum number of concurrent requests; further ones are refused.
    max_body_bytes : int
        Maximum size of a caller's request body.
    endpoint_connections : int
        Connection limit of the first endpoint address that is called. The limit of an
        address is this number over the count of addresses called so far, including
        itself, and at least 4; it is set at the first call to the address.
    log_format : str
        ``text`` or ``json``.
    leave_seconds : float
        How long new requests are still accepted after readiness is withdrawn; the
        load balancer needs that time to notice.
    answer_keep_seconds : float
        How long the answer of an ended request can be fetched, unless it is evicted
        earlier by the limits on memory and on ended requests per workspace.
    """

    name: str = attrs.field(validator=valid_name)
    availability_zone: str = attrs.field(validator=valid_name)
    region: str = attrs.field(default="region", validator=valid_name)
    address: str = "127.0.0.1"
    callers_port: int = attrs.field(default=8080, validator=between(0, 65535))
    operators_port: int = attrs.field(default=8081, validator=between(0, 65535))
    bundle_file: str
    log_format: str = attrs.field(default="text", validator=one_of(LOG_FORMATS))
    max_requests_in_flight: int = attrs.field(
        default=1500, validator=between(1, 100_000)
    )
    max_body_bytes: int = attrs.field(
        default=1_000_000, validator=between(1_000, 100_000_000, "bytes")
    )
    endpoint_connections: int = attrs.field(
        default=2_000, validator=between(1, 100_000)
    )
    leave_seconds: float = attrs.field(
        default=5.0, validator=between(0.0, 300.0, "seconds")
    )
    answer_keep_seconds: float = attrs.field(
        default=60.0, validator=between(1.0, 3600.0, "seconds")
    )


def check_settings(text: str) -> Result[DaemonSettings, list[Problem]]:
    """Check the YAML text of a daemon's settings.

    Examples
    --------
    >>> found = check_settings("{name: entry-1, availability_zone: a}")
    >>> print(found.error[0])
    line 1: $.bundle_file: the required key 'bundle_file' is missing; add it
    """
    return check_document(text, DaemonSettings)

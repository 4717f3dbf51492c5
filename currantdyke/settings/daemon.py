"""What a daemon learns from its own YAML file."""

import attrs
from expression import Result

from currantdyke.documents import Problem, check_document
from currantdyke.documents.validators import between, name_text, one_of
from currantdyke.logs.setup import LOG_FORMATS

__all__ = ["DaemonSettings", "check_settings"]


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """The settings of one daemon; everything shared is in the bundle.

    Attributes
    ----------
    name : str
        The daemon's name, which stands in request ids.
    availability_zone, region : str
        Where its VM runs.
    address : str
        The IP number that it listens on and is reached at.
    callers_port, operators_port : int
        Ports of the two HTTP faces; 0 takes any free port.
    bundle_file : str
        The file that holds the bundle; read again when it changes.
    max_requests_in_flight : int
        Requests run at once; more are refused.
    max_body_bytes : int
        The longest body a caller may send.
    endpoint_connections : int
        Connections kept to all endpoints together.
    log_format : str
        ``text`` or ``json``.
    leave_seconds : float
        How long new requests are still taken after readiness was withdrawn; the
        balancer needs that time to notice.
    answer_keep_seconds : float
        How long a finished answer can be rejoined.
    """

    name: str = attrs.field(validator=name_text)
    availability_zone: str = attrs.field(validator=name_text)
    region: str = attrs.field(default="region", validator=name_text)
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

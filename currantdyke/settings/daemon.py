"""What a daemon learns from its own YAML file."""

import attrs
from expression import Result

from currantdyke.documents import Problem, check_document
from currantdyke.documents.validators import between, name_text, one_of
from currantdyke.logs.setup import LOG_FORMATS
from currantdyke.settings.peers import peer_addresses, peer_keys

__all__ = ["DaemonSettings", "check_settings"]


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """The settings of one daemon; everything shared is in the bundle.

    Attributes
    ----------
    name : str
        The daemon's name, unique in the fleet.
    availability_zone, region : str
        Where its VM runs.
    address : str
        The IP number that it listens on and is reached at.
    callers_port, operators_port : int
        Ports of the two HTTP faces; 0 takes any free port.
    store_url : str
        The platform's key-value service.
    peer_port : int
        UDP and TCP port for other daemons; 0 takes any free one.
    peer_seeds : tuple of str
        Addresses ``host:port`` of some daemons to join by.
    peer_keys : tuple of str
        Keys that peers authenticate with; the first one seals. Without any, the
        daemon runs alone. Read again on SIGHUP.
    platform_list_url : str
        Where the platform tells its live and leaving VMs; may be left out.
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
    store_url: str
    log_format: str = attrs.field(default="text", validator=one_of(LOG_FORMATS))
    peer_port: int = attrs.field(default=7946, validator=between(0, 65535))
    peer_seeds: tuple[str, ...] = attrs.field(default=(), validator=peer_addresses)
    peer_keys: tuple[str, ...] = attrs.field(
        default=(), validator=peer_keys, repr=False
    )
    platform_list_url: str = ""
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
    line 1: $.store_url: the required key 'store_url' is missing; add it
    """
    return check_document(text, DaemonSettings)

"""Settings of one gateway process."""

import attrs

__all__ = ["GatewaySettings", "StoreSettings"]


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Address of the platform's store, and the request rates that all daemons share."""

    address: str
    writes_per_second: float
    reads_per_second: float


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of one process; all times in seconds.

    Attributes
    ----------
    peer_port : int
        Port of the links between daemons, the same on every VM.
    seed_ips : tuple of str
        Addresses of a few VMs that may run daemons; the list may be outdated.
    grace : float
        Time from SIGTERM to SIGKILL.
    configuration_delay : float
        Time after which each daemon must follow a configuration that the store has
        acknowledged.
    heartbeat : float
        Interval at which endpoints write their entries.
    retry_ratio, retry_window, retry_slack : float
        Limits on the retries that all daemons together may send to a service: a share
        of its requests, the window in seconds, and a number per window in addition.
    cold_overage, cold_tolerance : float or None
        Bound on the requests that a cold endpoint gets in any second: the factor on
        the rate of its service, and the number in addition; None if there is no bound.
    cores : float
        Processor time that the VM gives this process, in cores.
    """

    name: str
    ip: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    grace: float
    configuration_delay: float
    heartbeat: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    cores: float
    memory_bytes: int
    file_descriptors: int
    store: StoreSettings
    cold_overage: float | None = None
    cold_tolerance: float | None = None

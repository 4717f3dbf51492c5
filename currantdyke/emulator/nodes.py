"""Settings files in the format that the platform gives to processes."""

from typing import Any

__all__ = ["node_settings"]

CALLERS_PORT = 18_601
READINESS_PORT = 18_602
CONTROL_PORT = 18_603
FIRST_PEER_PORT = 18_604
LAST_PEER_PORT = 18_610


def node_settings(
    *, name: str, ip: str, store_address: str, seed_ips: list[str]
) -> dict[str, Any]:
    """Return the settings of one process on a VM with its own IP address."""
    return {
        "node_name": name,
        "role": "gateway",
        "machine_class": "edge",
        "serves": ["edge", "control"],
        "ip": ip,
        "zone": "zone-a",
        "listen": {
            "frontend": f"{ip}:{CALLERS_PORT}",
            "readiness": f"{ip}:{READINESS_PORT}",
            "control_plane": f"{ip}:{CONTROL_PORT}",
        },
        "internal_port_range": [FIRST_PEER_PORT, LAST_PEER_PORT],
        "seed_nodes": [f"{seed}:{CONTROL_PORT}" for seed in seed_ips],
        "limits": {
            "cpu_quota": 1.0,
            "cpu_cores": 1,
            "memory_mb": 222,
            "max_fds": 1_535,
        },
        "bounds": {
            "grace_s": 8,
            "drain_ms": 2_000,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_budget_slack": 104,
            "cold_overage": 1.5,
            "cold_tolerance": 5,
        },
        "platform": {
            "address": store_address,
            "writes_per_s": 400,
            "reads_per_s": 2_000,
            "min_ttl_ms": 1_000,
        },
    }

"""Read the platform's settings file as gateway settings."""

import math
import pathlib

import yaml
from expression import Error, Ok, Result

from currantdyke.gateway.settings import GatewaySettings, StoreSettings

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "CURRANTDYKE_CONFIG"

REMEDY = "have the platform rewrite the file, or correct it and restart"


def read_settings(path: pathlib.Path) -> Result[GatewaySettings, str]:
    """Read the settings of a process.

    Returns
    -------
    Result
        The settings, or a message with the path, the line if known, the problem and
        the remedy.
    """
    try:
        document = yaml.safe_load(path.read_text())
    except OSError as error:
        return Error(f"{path}: {error.strerror}; {REMEDY}")
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}: " if mark else ""
        detail = getattr(error, "problem", None) or str(error)
        return Error(f"{path}: {line}{detail}; {REMEDY}")
    try:
        return Ok(_decode_settings(document))
    except KeyError as error:
        return Error(f"{path}: the field {error.args[0]!r} is missing; {REMEDY}")
    except (TypeError, ValueError, AttributeError) as error:
        return Error(f"{path}: {error}; {REMEDY}")


def _decode_settings(document: dict) -> GatewaySettings:
    listen = document["listen"]
    bounds = document.get("bounds") or {}
    limits = document.get("limits") or {}
    store = document["platform"]
    first_port, _ = document["internal_port_range"]
    return GatewaySettings(
        name=str(document["node_name"]),
        ip=str(document["ip"]),
        availability_zone=str(document["zone"]),
        caller_address=str(listen["frontend"]),
        readiness_address=str(listen["readiness"]),
        peer_port=int(first_port),
        seed_ips=tuple(
            str(address).rpartition(":")[0]
            for address in document.get("seed_nodes") or ()
        ),
        grace=float(bounds.get("grace_s", 8)),
        configuration_delay=float(bounds.get("config_apply_ms", 2_000)) / 1_000,
        heartbeat=_seconds(document.get("heartbeat_ms"), 1_200),
        retry_ratio=float(bounds.get("retry_budget_ratio", 0.0)),
        retry_window=float(bounds.get("retry_window_s", 10)),
        retry_slack=float(bounds.get("retry_budget_slack", 0)),
        # Despite its name, `cpu_cores` is no number of cores: the process may use the
        # share `cpu_quota` of one core, which is `cpu_cores` times as fast as a
        # standard core.
        cores=float(limits.get("cpu_quota", 1.0)) * float(limits.get("cpu_cores", 1)),
        memory_bytes=int(limits.get("memory_mb", 222)) * 1_000_000,
        file_descriptors=int(limits.get("max_fds", 1_024)),
        store=StoreSettings(
            address=str(store["address"]),
            writes_per_second=float(store.get("writes_per_s", 100)),
            reads_per_second=float(store.get("reads_per_s", 500)),
        ),
        cold_overage=_bound(bounds, "cold_overage"),
        cold_tolerance=_bound(bounds, "cold_tolerance"),
    )


def _bound(bounds: dict, key: str) -> float | None:
    """Return a bound from 0 on; None if it is not in force."""
    value = bounds.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"bounds.{key} is {value!r}, not a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"bounds.{key} is {value!r}, not a number from 0 on")
    return float(value)


def _seconds(milliseconds: object, default: float) -> float:
    if milliseconds is None:
        return default / 1_000
    if isinstance(milliseconds, bool) or not isinstance(milliseconds, (int, float)):
        raise ValueError(f"{milliseconds!r} is not a number of milliseconds")
    return milliseconds / 1_000

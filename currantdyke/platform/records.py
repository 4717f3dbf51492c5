"""Decode the items of the store into typed records."""

import ipaddress
import re

import attrs
import msgspec
from expression import Error, Ok, Result

from currantdyke.catalog import Catalog, Endpoint
from currantdyke.platform.cold import decode_cold_entry
from currantdyke.platform.configuration import DECODE_ERRORS, decode_catalog

__all__ = [
    "CrashGroupRecord",
    "DaemonEntry",
    "EvacuationRecord",
    "RecordKind",
    "VersionsRecord",
    "encode_crash_group",
    "encode_daemon_entry",
    "encode_versions_record",
    "decode_record",
    "is_evacuation_key",
    "record_kind",
]

CONFIGURATION_KEY = "op/config"
ENDPOINTS_PREFIX = "servers/"
DAEMONS_PREFIX = "daemons/"
CRASH_GROUPS_PREFIX = "crash-groups/"
VERSIONS_PREFIX = "stream-versions/"
EVACUATIONS_PREFIX = "op/evacuate/"
# The empty prefix, under which all keys are listed and watched at once.
ALL_KEYS_PREFIX = ""
# Ids are sent to endpoints in a header.
INSTANCE_PATTERN = re.compile(r"[!-~]{1,200}")
# Beyond any endpoint; numbers that are larger are those of another writer.
MAX_SLOTS = 1_000_000
# Messages between daemons hold the start of a lifetime as a signed number of 64 bits.
MAX_BORN = 2**63 - 1
# Characters of a zone's name; longer names are no zone's and would fill the log.
MAX_ZONE_LENGTH = 200


@attrs.frozen(kw_only=True)
class DaemonEntry:
    """A daemon as registered in the store.

    Attributes
    ----------
    incarnation : str
        Identifier of one run of the process.
    cores : float
        Processor time that its VM provides, in cores.
    leaving : bool
        Whether it is stopping and schedules no new requests for other daemons.
    protocol : int
        The latest protocol between daemons that it knows; 0 for an earlier build, which
        closes a link on a message that it does not know.
    era : int
        Era of the store in which it was written; 0 if the store names none, or from an
        earlier build.
    """

    name: str
    ip: str
    availability_zone: str
    incarnation: str
    cores: float = 1.0
    leaving: bool = False
    protocol: int = 0
    era: int = 0


@attrs.frozen(kw_only=True)
class CrashGroupRecord:
    """Requests that are refused because they crash endpoints.

    Attributes
    ----------
    keys : tuple of str
        A request belongs to the group if it has all of them.
    seconds : float
        Duration of the condemnation from the time at which a daemon reads this
        revision; 0 if the group has been cleared.
    crashes : int
        Number of crashes that led to it.
    """

    group: str
    keys: tuple[str, ...]
    seconds: float
    crashes: int = 0


@attrs.frozen(kw_only=True)
class VersionsRecord:
    """States that a service has endpoints of several versions, or recently had."""

    service: str


@attrs.frozen(kw_only=True)
class EvacuationRecord:
    """States that the endpoints of an availability zone get no new work."""

    zone: str


@attrs.frozen(kw_only=True)
class RecordKind:
    """What a key refers to; exactly one of the fields is set."""

    configuration: bool = False
    endpoint: str | None = None
    daemon: str | None = None
    crash_group: str | None = None
    versions: str | None = None
    evacuated_zone: str | None = None


def record_kind(key: str) -> RecordKind | None:
    """Return what a key of the store refers to.

    None for a key that this system does not use.
    """
    if key == CONFIGURATION_KEY:
        return RecordKind(configuration=True)
    if key.startswith(ENDPOINTS_PREFIX):
        return RecordKind(endpoint=key.removeprefix(ENDPOINTS_PREFIX))
    if key.startswith(DAEMONS_PREFIX):
        return RecordKind(daemon=key.removeprefix(DAEMONS_PREFIX))
    if key.startswith(CRASH_GROUPS_PREFIX):
        return RecordKind(crash_group=key.removeprefix(CRASH_GROUPS_PREFIX))
    if key.startswith(VERSIONS_PREFIX):
        return RecordKind(versions=key.removeprefix(VERSIONS_PREFIX))
    if is_evacuation_key(key):
        return RecordKind(evacuated_zone=key.removeprefix(EVACUATIONS_PREFIX))
    return None


def is_evacuation_key(key: str) -> bool:
    """Return whether a key is that of an evacuation, of any name."""
    return key.startswith(EVACUATIONS_PREFIX)


def decode_record(
    key: str, value: bytes
) -> Result[
    Catalog
    | Endpoint
    | DaemonEntry
    | CrashGroupRecord
    | VersionsRecord
    | EvacuationRecord,
    str,
]:
    """Decode an item of the store.

    Returns
    -------
    Result
        The record, or the reason why the item cannot be used.
    """
    kind = record_kind(key)
    if kind is None:
        return Error("the key belongs to another writer")
    if kind.configuration:
        return decode_catalog(value)
    if kind.versions is not None:
        return Ok(VersionsRecord(service=kind.versions))
    if kind.evacuated_zone is not None:
        return _decode_evacuation(kind.evacuated_zone)
    try:
        document = msgspec.json.decode(value)
        if kind.endpoint is not None:
            return Ok(_decode_endpoint(kind.endpoint, document))
        if kind.crash_group is not None:
            return Ok(_decode_crash_group(kind.crash_group, document))
        return Ok(_decode_daemon(str(kind.daemon), document))
    except DECODE_ERRORS as error:
        return Error(f"{type(error).__name__}: {error}")


def _decode_evacuation(zone: str) -> Result[EvacuationRecord, str]:
    # Endpoints without a zone have the empty name; no record evacuates them.
    if not 0 < len(zone) <= MAX_ZONE_LENGTH or not zone.isprintable():
        return Error("the key names no availability zone")
    return Ok(EvacuationRecord(zone=zone))


def _decode_endpoint(instance: str, document: dict) -> Endpoint:
    if INSTANCE_PATTERN.fullmatch(instance) is None:
        raise ValueError(f"the id {instance!r} fits in no header")
    state = document["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"state {state!r} is unknown")
    service, address = document["service"], document["address"]
    zone = document.get("zone", "")
    version = document.get("version", "")
    born = document.get("born", 0)
    slots = document.get("slots", 1)
    texts = (service, address, zone, version)
    all_strings = all(isinstance(text, str) for text in texts)
    if not all_strings or type(slots) is not int or type(born) is not int:
        raise TypeError("a field has an unexpected type")
    if slots > MAX_SLOTS or not 0 <= born <= MAX_BORN:
        raise ValueError(f"{slots} slots or the start {born} is out of range")
    _check_address(address)
    cold, unreadable_cold = decode_cold_entry(document.get("cold_remaining_ms"))
    return Endpoint(
        instance=instance,
        service=service,
        address=address,
        availability_zone=zone,
        slots=max(1, slots),
        leaving=state == "draining",
        born=born,
        version=version,
        cold_remaining=cold,
        unreadable_cold=unreadable_cold,
    )


def _check_address(address: str) -> None:
    """Raise ValueError unless an address is an IP address and a port."""
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"the address {address[:100]!r} has no valid port")


def _decode_daemon(name: str, document: dict) -> DaemonEntry:
    return DaemonEntry(
        name=name,
        ip=str(ipaddress.ip_address(str(document["ip"]))),
        availability_zone=str(document.get("availability_zone", "")),
        incarnation=str(document["incarnation"]),
        cores=float(document.get("cores", 1.0)),
        leaving=bool(document.get("leaving", False)),
        protocol=int(document.get("protocol", 0)),
        era=int(document.get("era", 0)),
    )


def _decode_crash_group(group: str, document: dict) -> CrashGroupRecord:
    keys = document["keys"]
    if not keys or not all(isinstance(key, str) for key in keys):
        raise TypeError("the keys of a crash group are not a list of texts")
    return CrashGroupRecord(
        group=group,
        keys=tuple(keys),
        seconds=float(document["seconds"]),
        crashes=int(document.get("crashes", 0)),
    )


def encode_crash_group(record: CrashGroupRecord) -> tuple[str, bytes]:
    """Return the key and the value under which a group is stored."""
    document = {
        "keys": record.keys,
        "seconds": record.seconds,
        "crashes": record.crashes,
    }
    return CRASH_GROUPS_PREFIX + record.group, msgspec.json.encode(document)


def encode_versions_record(service: str) -> tuple[str, bytes]:
    """Return the key and the value of the record of a service's versions."""
    return VERSIONS_PREFIX + service, b"{}"


def encode_daemon_entry(entry: DaemonEntry, *, lease: int = 0) -> tuple[str, bytes]:
    """Return the key and the value with which a daemon registers itself.

    Parameters
    ----------
    lease : int
        The lease under which it is written, so that two entries which differ only in
        it are told from each other also where leases are not passed on.
    """
    document = {
        "ip": entry.ip,
        "availability_zone": entry.availability_zone,
        "incarnation": entry.incarnation,
        "cores": entry.cores,
        "leaving": entry.leaving,
        "protocol": entry.protocol,
        "era": entry.era,
        "lease": lease,
    }
    return DAEMONS_PREFIX + entry.name, msgspec.json.encode(document)

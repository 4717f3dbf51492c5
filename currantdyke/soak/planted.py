"""Faults that are injected into a gateway's code, which the soak must detect."""

import asyncio
from collections.abc import Callable
from typing import Annotated, Any

import anyio
import attrs
import h11
import msgspec
from expression import Error

from currantdyke.core import Position
from currantdyke.crashes import CrashDetector
from currantdyke.directory import ChangeSet, Directory, Follower
from currantdyke.directory.endpoints import EndpointTable
from currantdyke.forward import attempt, plain
from currantdyke.forward.attempt import EndpointResponse
from currantdyke.forward.stream import StreamBrokenError
from currantdyke.gateway.caller import CallerConnection
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.links import changes
from currantdyke.platform import answers, configuration, records
from currantdyke.platform.answers import (
    RETRY_AFTER,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    ResponseMetadata,
)
from currantdyke.platform.store import StoreClient
from currantdyke.streamversions.client import FleetStreamVersions
from currantdyke.tunnels.client import TunnelClient

__all__ = ["PLANTED"]

# Twice the time in which a configuration must be in force.
LATE_SECONDS = 4.0
# Less than the silence of sound endpoints.
SILENCE_SECONDS = 0.3


def _repeat_attempts() -> None:
    plain._may_retry = lambda exchange, context: exchange.runs < 3


def _claim_not_run() -> None:
    answers._status = lambda failure: 503


def _corrupt_answers() -> None:
    write: Any = CallerConnection.write

    async def write_reversed(self: CallerConnection, data: bytes) -> None:
        await write(self, data[::-1])

    CallerConnection.write = write_reversed  # type: ignore[method-assign]


def _stop_at_once() -> None:
    async def stop(self: GatewayDaemon) -> None:
        """Stop without draining."""

    GatewayDaemon._stop = stop  # type: ignore[method-assign]


def _accept_older_configuration() -> None:
    configured: Any = Directory._configured

    def accept_any_version(self: Directory, *record: Any) -> None:
        self.routes = None
        configured(self, *record)

    Directory._configured = accept_any_version  # type: ignore[method-assign, assignment]


def _apply_configurations_late() -> None:
    configured: Any = Directory._configured

    def apply_later(self: Directory, *arguments: Any) -> None:
        seconds = 0.0 if self.routes is None else LATE_SECONDS
        asyncio.get_running_loop().call_later(seconds, configured, self, *arguments)

    Directory._configured = apply_later  # type: ignore[assignment,method-assign]
    # A daemon knows at once that the version exists.
    Directory.has_newest = property(  # type: ignore[method-assign, assignment]
        lambda self: self.routes is not None
    )


def _use_leaving_endpoints() -> None:
    announce: Any = EndpointTable.announce

    def announce_as_ready(self: EndpointTable, endpoint) -> None:
        announce(self, attrs.evolve(endpoint, leaving=False))

    EndpointTable.announce = announce_as_ready  # type: ignore[method-assign]


def _close_at_silence() -> None:
    def limit_silence(function: Any) -> Any:
        async def read_soon(*arguments: Any) -> Any:
            with anyio.move_on_after(SILENCE_SECONDS):
                return await function(*arguments)
            raise StreamBrokenError("silent")

        return read_soon

    attempt._read_head = limit_silence(attempt._read_head)
    EndpointResponse.read = limit_silence(EndpointResponse.read)  # type: ignore[method-assign]


def _detect_no_crash() -> None:
    def start_no_probe(self: CrashDetector, *arguments: Any) -> None:
        """Take the endpoint for a sound one."""

    CrashDetector.start_probe = start_no_probe  # type: ignore[method-assign, assignment]


def _ignore_headers(*names: bytes) -> Callable[[], None]:
    """Return a fault by which headers of endpoints' answers are not read."""

    def inject() -> None:
        decode = attempt.decode_response_metadata

        def decode_without(response: h11.Response) -> ResponseMetadata:
            headers = [field for field in response.headers if field[0] not in names]
            status = response.status_code
            return decode(h11.Response(status_code=status, headers=headers))

        attempt.decode_response_metadata = decode_without

    return inject


def _ignore_cold_entries() -> None:
    records.decode_cold_entry = lambda value: (0.0, None)


def _send_whole_values() -> None:
    request: Any = changes.ChangesRequest

    def request_whole(**fields: Any) -> Any:
        return request(**(fields | {"accepts_offers": False, "bases": ()}))

    changes.ChangesRequest = request_whole  # type: ignore[assignment, misc]

    def never_slow(self: Follower) -> bool:
        """Go on with the read, without asking peers for the same."""
        return False

    Follower._is_answer_slow = never_slow  # type: ignore[method-assign]


def _open_no_tunnel() -> None:
    def choose_none(self: TunnelClient, *arguments: Any) -> list:
        return []

    TunnelClient._choose = choose_none  # type: ignore[method-assign, assignment]


def _ignore_versions() -> None:
    decode: Any = records._decode_endpoint

    def decode_without_version(instance: str, document: dict) -> Any:
        return decode(instance, document | {"version": ""})

    records._decode_endpoint = decode_without_version


def _ignore_eras() -> None:
    def record_none(self: StoreClient, response: h11.Response) -> None:
        """Take all revisions for those of one history."""

    StoreClient._record_era = record_none  # type: ignore[method-assign]


def _accept_invalid_configurations() -> None:
    decode: Any = configuration._decode_workspaces

    def decode_any(document: dict) -> Any:
        return decode(document) if document.get("tenants") else None

    configuration._decode_workspaces = decode_any


class _StrictRoute(msgspec.Struct):
    host: str
    prefix: Annotated[str, msgspec.Meta(pattern="^/.*/$")]
    service: str
    max_attempts: Annotated[int, msgspec.Meta(ge=1)]
    priority: Annotated[int, msgspec.Meta(ge=0)]
    public: bool


class _StrictWorkspace(msgspec.Struct):
    api_keys: list[str]


class _StrictDocument(msgspec.Struct):
    version: int
    route_list: list[_StrictRoute]
    tenants: Annotated[list[_StrictWorkspace], msgspec.Meta(max_length=1)]
    limits: dict[str, int]


def _reject_odd_documents() -> None:
    decode = records.decode_catalog

    def decode_strictly(data: bytes) -> Any:
        try:
            msgspec.json.decode(data, type=_StrictDocument)
        except msgspec.DecodeError as error:
            return Error(str(error))
        return decode(data)

    records.decode_catalog = decode_strictly


def _tell_changes_only() -> None:
    tell: Any = Directory.changes_since

    def tell_without_newest(self: Directory, position: Position) -> ChangeSet:
        changes = tell(self, position)
        return ChangeSet(
            changes=changes.changes,
            revision=changes.revision,
            era=changes.era,
            is_snapshot=changes.is_snapshot,
            grace_period=changes.grace_period,
            age=changes.age,
            offers=changes.offers,
        )

    Directory.changes_since = tell_without_newest  # type: ignore[method-assign]


def _ignore_evacuations() -> None:
    EndpointTable.evacuate = (  # type: ignore[method-assign]
        lambda self, zone, position: None
    )


def _keep_streams_to_itself() -> None:
    FleetStreamVersions._back_up = (  # type: ignore[method-assign]
        lambda self, service, streams: None
    )


def _renew_grace_periods() -> None:
    """Take each failed read for an outage, and extend what it lets go on."""

    def drop_together(self: EndpointTable) -> list[str]:
        if self.now() < self.grace_period_end:
            return []
        dropped = sorted(self.lapsed)
        self.lapsed.clear()
        for instance in dropped:
            self._delete(instance)
        return dropped

    Follower._record_cut = Follower._record_outage  # type: ignore[method-assign]
    Follower._start_grace_period = (  # type: ignore[method-assign]
        lambda self, age: self.directory.endpoints.start_grace_period()
    )
    EndpointTable.drop_lapsed = drop_together  # type: ignore[method-assign]


def _start_no_grace_period() -> None:
    Follower._start_grace_period = (  # type: ignore[method-assign]
        lambda self, age: None
    )


# Fault injectors by the guarantee that each violates.
PLANTED: dict[str, Callable[[], None]] = {
    "once": _repeat_attempts,
    "not-run": _claim_not_run,
    "own-answer": _corrupt_answers,
    "shutdown": _stop_at_once,
    "final-refusal": _apply_configurations_late,
    "configuration": _accept_older_configuration,
    "leaving": _use_leaving_endpoints,
    "silence": _close_at_silence,
    "crashes": _detect_no_crash,
    "limits": _ignore_headers(SERVER_LIMIT),
    "cold": _ignore_cold_entries,
    "states": _ignore_headers(SERVER_LEAVING, RETRY_AFTER),
    "fragile": _ignore_headers(SERVER_BRITTLE),
    "whole-values": _send_whole_values,
    "cut-off": _open_no_tunnel,
    "evacuations": _ignore_evacuations,
    "versions": _ignore_versions,
    "eras": _ignore_eras,
    "validity": _accept_invalid_configurations,
    "documents": _reject_odd_documents,
    "backups": _keep_streams_to_itself,
    "removals": _renew_grace_periods,
    "lapsed": _start_no_grace_period,
    "newest-known": _tell_changes_only,
}

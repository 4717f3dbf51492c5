"""Reach the conductor of a request: the owner of its services, or this daemon."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.conductor.conductor import Conductor
from currantdyke.conductor.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import rank_daemons
from currantdyke.links import LinkLostError, Peers

__all__ = ["ConductorClient"]

# Other daemons that are asked before this one schedules the request itself.
MAX_OWNERS_ASKED = 2
# Daemons that start together are up within this time of each other; until then an
# owner that refuses connections is waited for, since a second owner would compete with
# it for the stages' memory.
START_SPREAD_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class ConductorClient:
    """Asks the owner of a request's services to place it.

    Attributes
    ----------
    groups : dict of str to str
        The group of each service, by the configuration in force.
    started_at : float
        When this daemon started.
    placed_by : dict of str to str
        Which daemon placed a request, by attempt id; empty for this one.
    """

    peers: Peers
    local: Conductor
    log: DecisionLog
    is_leaving: Callable[[], bool]
    started_at: float = float("-inf")
    groups: dict[str, str] = attrs.field(factory=dict)
    placed_by: dict[str, str] = attrs.field(factory=dict)

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Run the request's stages and choose its engine."""
        answer = await self._ask_owners(request)
        if isinstance(answer, Refusal):
            self.placed_by.pop(request.attempt_id, None)
        return answer

    async def _ask_owners(self, request: PlacementRequest) -> Placement | Refusal:
        asked = 0
        for name, ip in self._owners(request.service):
            if ip == "" or asked >= MAX_OWNERS_ASKED:
                break
            asked += 1
            self.placed_by[request.attempt_id] = ip
            started = anyio.current_time()
            try:
                answer = await self.peers.ask(
                    ip, request, patience=self._patience(started)
                )
            except LinkLostError:
                self.log.write(
                    "owner_lost",
                    failure=True,
                    request=request.attempt_id,
                    owner=name,
                    waited=round(anyio.current_time() - started, 3),
                )
                continue
            except anyio.get_cancelled_exc_class():
                self.progress(request.attempt_id, ProgressKind.CANCELLED)
                raise
            if isinstance(answer, (Placement, Refusal)):
                return answer
        self.placed_by[request.attempt_id] = ""
        return await self.local.place(request)

    def _patience(self, now: float) -> float:
        """Return for how many seconds an owner is waited for that is not up."""
        return max(0.0, self.started_at + START_SPREAD_SECONDS - now)

    def progress(self, attempt_id: str, kind: ProgressKind) -> None:
        """Report a request's progress to the daemon that placed it."""
        ip = self.placed_by.get(attempt_id)
        if kind is not ProgressKind.STARTED:
            self.placed_by.pop(attempt_id, None)
        if ip is None:
            return
        progress = Progress(attempt_id=attempt_id, kind=kind)
        if ip == "":
            self.local.progressed(progress)
        else:
            self.peers.tell(ip, progress)

    def _owners(self, service: str) -> list[tuple[str, str]]:
        """Return daemons by name and IP, the owner first; this one has no IP."""
        others = [daemon for daemon in self.peers.others() if not daemon.leaving]
        ips = {daemon.name: daemon.ip for daemon in others}
        cores = {daemon.name: daemon.cores for daemon in others}
        if not (ips and self.is_leaving()):
            own = self.peers.own
            ips[own.name], cores[own.name] = "", own.cores
        group = self.groups.get(service, service)
        return [(name, ips[name]) for name in rank_daemons(group, cores)]

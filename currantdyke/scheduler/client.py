"""Client of the scheduler of a request, in this daemon or in another."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import rank_daemons
from currantdyke.links import LinkLostError, Peers
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.scheduler.scheduler import Scheduler

__all__ = ["SchedulerClient"]

# Number of other daemons that are asked before this one schedules the request itself.
MAX_OWNERS_ASKED = 2
# Daemons that are started together accept connections within this time of each other.
# Until then, wait for an owner that refuses connections: a second owner would compete
# with it for the memory of the stage endpoints.
STARTUP_SPREAD_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class SchedulerClient:
    """Asks the owner of a request's service group to place the request.

    Attributes
    ----------
    local : Scheduler
        The scheduler of this daemon.
    is_leaving : callable
        Returns whether this daemon is shutting down.
    groups : dict of str to str
        The group of each service in the current configuration.
    started_at : float
        Monotonic time in seconds at which this daemon started.
    placed_by : dict of str to tuple of str
        IPs of the daemons that were asked to place a request, by attempt id; empty for
        this daemon. They keep its state until its end is reported.
    """

    peers: Peers
    local: Scheduler
    log: DecisionLog
    is_leaving: Callable[[], bool]
    started_at: float = float("-inf")
    groups: dict[str, str] = attrs.field(factory=dict)
    placed_by: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Run the request's stages and choose its engine.

        A request that is at an engine already may be placed at another one too. If that
        is refused, the earlier placement stays. If it is cancelled, the caller of this
        function reports which placements are left.
        """
        earlier = self.placed_by.get(request.attempt_id, ())
        try:
            answer = await self._ask_owners(request)
        except anyio.get_cancelled_exc_class():
            if not earlier:
                self.report_progress(request.attempt_id, ProgressKind.CANCELLED)
            raise
        if isinstance(answer, Refusal):
            self.placed_by.pop(request.attempt_id, None)
            if earlier:
                self.placed_by[request.attempt_id] = earlier
        return answer

    async def _ask_owners(self, request: PlacementRequest) -> Placement | Refusal:
        asked = 0
        for name, ip in self.ranked_daemons(request.service):
            if ip == "" or asked >= MAX_OWNERS_ASKED:
                break
            asked += 1
            self._add_owner(request.attempt_id, ip)
            started = anyio.current_time()
            try:
                answer = await self.peers.request(
                    ip, request, retry_seconds=self._startup_wait(started)
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
            if isinstance(answer, (Placement, Refusal)):
                return answer
        self._add_owner(request.attempt_id, "")
        return await self.local.place(request)

    def _startup_wait(self, now: float) -> float:
        """Return the seconds to wait for an owner that does not accept connections."""
        return max(0.0, self.started_at + STARTUP_SPREAD_SECONDS - now)

    def report_progress(
        self,
        attempt_id: str,
        kind: ProgressKind,
        *,
        instance: str = "",
        keeps_results: bool = False,
    ) -> None:
        """Report a request's progress to the daemons that placed it.

        With an instance, the progress of its run there is reported; see `Progress`.
        """
        ips = self.placed_by.get(attempt_id, ())
        if kind is not ProgressKind.STARTED and not instance:
            self.placed_by.pop(attempt_id, None)
        progress = Progress(
            attempt_id=attempt_id,
            kind=kind,
            instance=instance,
            keeps_results=keeps_results,
        )
        for ip in ips:
            if ip == "":
                self.local.record_progress(progress)
            else:
                self.peers.notify(ip, progress)

    def _add_owner(self, attempt_id: str, ip: str) -> None:
        known = self.placed_by.get(attempt_id, ())
        if ip not in known:
            self.placed_by[attempt_id] = (*known, ip)

    def ranked_daemons(
        self, service: str, *, protocol: int = 0, suspected: bool = False
    ) -> list[tuple[str, str]]:
        """Return names and IPs of the daemons, the owner first.

        The IP of this daemon is empty. This daemon is left out if it is leaving and
        there are others.

        Parameters
        ----------
        protocol : int
            Daemons that know only an earlier protocol are left out.
        suspected : bool
            Whether daemons that are suspected of a failure are included.
        """
        known = self.peers.registered() if suspected else self.peers.others()
        others = [
            daemon
            for daemon in known
            if not daemon.leaving and daemon.protocol >= protocol
        ]
        ips = {daemon.name: daemon.ip for daemon in others}
        cores = {daemon.name: daemon.cores for daemon in others}
        if not (ips and self.is_leaving()):
            own = self.peers.own
            ips[own.name], cores[own.name] = "", own.cores
        group = self.groups.get(service, service)
        return [(name, ips[name]) for name in rank_daemons(group, cores)]

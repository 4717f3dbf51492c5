"""A daemon's place among the others."""

import contextlib
from collections.abc import AsyncIterator

import anyio.abc

from currantdyke.claims import forward_claims
from currantdyke.daemon.daemon import Daemon
from currantdyke.endpoints.liveness import (
    KEEP_SECONDS,
    LEAVING_PREFIX,
    RENEWED_PREFIX,
)
from currantdyke.membership import Membership
from currantdyke.peers import Member, MessageSeal, PeerTransport, open_peer_sockets
from currantdyke.settings import DaemonSettings

__all__ = ["open_transport", "start_peers"]


@contextlib.asynccontextmanager
async def open_transport(
    settings: DaemonSettings,
) -> AsyncIterator[PeerTransport | None]:
    """Open the sockets towards peers, where the settings give keys."""
    if not settings.peer_keys:
        yield None
        return
    async with open_peer_sockets(settings.address, settings.peer_port) as transport:
        yield transport


def start_peers(
    daemon: Daemon,
    transport: PeerTransport,
    callers_url: str,
    tasks: anyio.abc.TaskGroup,
) -> Membership:
    """Make a daemon a member and start that, in a task group.

    Parameters
    ----------
    daemon : Daemon
        The daemon, whose parts are told of the others.
    transport : PeerTransport
        The network between daemons.
    callers_url : str
        The base URL of its callers' face, for relays.
    tasks : TaskGroup
        Runs the membership.
    """
    settings = daemon.settings
    membership = Membership(
        me=Member(
            name=settings.name,
            counter=daemon.timeline.clock.wall(),
            incarnation=daemon.identity.incarnation,
            address=transport.address,
            availability_zone=settings.availability_zone,
            region=settings.region,
            url=callers_url,
        ),
        transport=transport,
        seal=MessageSeal(keys=settings.peer_keys),
        feed=daemon.configuration,
        timers=daemon.timers,
        metrics=daemon.metrics,
        timeline=daemon.timeline,
        random_source=daemon.random_source,
        seeds=settings.peer_seeds,
    )
    daemon.membership = membership
    daemon.follower.live_members = lambda: [
        (member.name, member.region) for member in membership.live_members()
    ]
    _share_endpoints(daemon, membership)
    daemon.quarantine.use(membership.facts)
    daemon.limits.use(membership)
    forward_claims(daemon.claims, membership)
    membership.start(tasks)
    return membership


def _share_endpoints(daemon: Daemon, membership: Membership) -> None:
    liveness = daemon.liveness

    def share(key: str, value: str) -> None:
        membership.state_fact(key, value, seconds=KEEP_SECONDS)

    liveness.share = share
    membership.facts.subscribe(LEAVING_PREFIX, liveness.take_fact)
    membership.facts.subscribe(RENEWED_PREFIX, liveness.take_renewal)

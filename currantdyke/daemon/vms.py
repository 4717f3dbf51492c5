"""Read the platform's list of VMs, in turns over the fleet."""

from absl import logging

from currantdyke.daemon.daemon import Daemon

__all__ = ["LIST_SECONDS", "read_platform_list"]

LIST_SECONDS = 1.0
FLEET_READS_PER_SECOND = 10.0


async def read_platform_list(daemon: Daemon) -> None:
    """Read the list, if it is this daemon's turn.

    All daemons together read it so often as to see a change at once; peers hear of
    it by gossip, so that one reader is enough.
    """
    daemon.liveness.forget_old()
    if daemon.platform_list is None:
        return
    members = len(daemon.membership.live_members()) if daemon.membership else 1
    share = FLEET_READS_PER_SECOND * LIST_SECONDS / members
    if daemon.random_source.random() >= share:
        return
    fetched = await daemon.platform_list.fetch()
    result = "ok" if fetched.is_ok() else "failed"
    daemon.metrics.platform_list_reads.labels(result).inc()
    if fetched.is_error():
        logging.log_every_n_seconds(
            logging.WARNING, "the platform's list: %s", 60.0, fetched.error
        )
        return
    daemon.liveness.take_list(fetched.ok)
    if daemon.membership is not None:
        daemon.membership.use_listed(
            vm.peer_address for vm in fetched.ok if vm.peer_address and not vm.leaving
        )

"""Run a daemon until a signal ends it."""

import pathlib
import signal
from collections.abc import Callable

import anyio
import click
from absl import logging

from currantdyke.cli.files import read_checked
from currantdyke.daemon import Daemon, Ports, serve
from currantdyke.logs import set_up_logs
from currantdyke.settings import DaemonSettings, check_settings

__all__ = ["reread_peer_keys", "serve_command"]

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@click.command("serve")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def serve_command(settings_file: str) -> None:
    """Run a daemon with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT shuts it down: every request in flight is finished, then it
    exits 0. SIGHUP reads the keys between daemons again. Exits 2 where the settings
    are not valid.
    """
    settings = read_checked(settings_file, check_settings)
    set_up_logs(settings.log_format)
    anyio.run(_serve_until_signal, settings, settings_file)


async def _serve_until_signal(settings: DaemonSettings, settings_file: str) -> None:
    stop = anyio.Event()
    running: list[Daemon] = []

    def reread() -> None:
        for daemon in running:
            reread_peer_keys(daemon, settings_file)

    def announce(ports: Ports) -> None:
        running.append(ports.daemon)
        logging.info(
            "callers at %s, operators at %s", ports.callers_url, ports.operators_url
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, reread)
        await serve(settings, stop, started=announce)
        tasks.cancel_scope.cancel()


async def _watch_signals(stop: anyio.Event, reread: Callable[[], None]) -> None:
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                stop.set()
                return
            reread()


def reread_peer_keys(daemon: Daemon, settings_file: str) -> bool:
    """Take over the peer keys of a changed file; return whether that was done.

    A file that cannot be read or is not valid changes nothing, and the log says so.
    """
    try:
        text = pathlib.Path(settings_file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        logging.error("%s: not read again: %s", settings_file, error)
        return False
    checked = check_settings(text)
    if checked.is_error():
        for problem in checked.error:
            logging.error("%s: not read again: %s", settings_file, problem)
        return False
    if daemon.membership is None or not checked.ok.peer_keys:
        logging.error("%s: peers need a restart to begin or end", settings_file)
        return False
    daemon.membership.link.seal.use_keys(checked.ok.peer_keys)
    logging.info("%s: %d peer keys in use", settings_file, len(checked.ok.peer_keys))
    return True

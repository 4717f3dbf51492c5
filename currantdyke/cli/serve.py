"""Run a daemon until a signal ends it."""

import signal

import anyio
import click
from absl import logging

from currantdyke.bundle import BundleFile
from currantdyke.cli.files import read_checked
from currantdyke.daemon import Ports, serve
from currantdyke.logs import set_up_logs
from currantdyke.settings import DaemonSettings, check_settings

__all__ = ["serve_command"]

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@click.command("serve")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def serve_command(settings_file: str) -> None:
    """Run a daemon on this machine with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT shuts it down: every request in flight is finished, then it
    exits 0. SIGHUP reads the bundle again at once. Exits 2 where the settings are
    not valid.
    """
    settings = read_checked(settings_file, check_settings)
    set_up_logs(settings.log_format)
    anyio.run(_serve_until_signal, settings)


async def _serve_until_signal(settings: DaemonSettings) -> None:
    stop = anyio.Event()
    files: list[BundleFile] = []

    def announce(ports: Ports) -> None:
        files.append(ports.daemon.bundle_file)
        logging.info(
            "callers at %s, operators at %s", ports.callers_url, ports.operators_url
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, files)
        await serve(settings, stop, started=announce)
        tasks.cancel_scope.cancel()


async def _watch_signals(stop: anyio.Event, files: list[BundleFile]) -> None:
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                stop.set()
                return
            for file in files:
                await file.read()

"""Command that runs a daemon until SIGTERM or SIGINT."""

import signal
from collections.abc import AsyncIterator

import anyio
import click
from absl import logging

from currantdyke.bundle import BundleFile
from currantdyke.cli.files import read_valid_file
from currantdyke.daemon import RunningDaemon, serve
from currantdyke.logs import set_up_logs
from currantdyke.settings import DaemonSettings, check_settings
from currantdyke.signals import receive_signals

__all__ = ["serve_command"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@click.command("serve")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def serve_command(settings_file: str) -> None:
    """Run a daemon on this machine with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT shuts it down gracefully: it completes the requests in flight
    and exits 0. A SIGINT after that ends it at once. SIGHUP reads the bundle file again
    immediately. Exits 2 if the settings are invalid.
    """
    settings = read_valid_file(settings_file, check_settings)
    set_up_logs(settings.log_format)
    anyio.run(_serve_until_signal, settings)


async def _serve_until_signal(settings: DaemonSettings) -> None:
    stop = anyio.Event()
    bundle_files: list[BundleFile] = []

    def announce(running: RunningDaemon) -> None:
        bundle_files.append(running.daemon.bundle_file)
        logging.info(
            "callers at %s, operators at %s", running.callers_url, running.operators_url
        )

    with receive_signals(*HANDLED_SIGNALS) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_handle_signals, signals, stop, bundle_files)
            await serve(settings, stop, on_started=announce)
            tasks.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[signal.Signals],
    stop: anyio.Event,
    bundle_files: list[BundleFile],
) -> None:
    async for signal_number in signals:
        if signal_number != signal.SIGHUP:
            stop.set()
            # A request that never ends would leave only SIGKILL.
            signal.signal(signal.SIGINT, signal.default_int_handler)
            continue
        for bundle_file in bundle_files:
            await bundle_file.read()

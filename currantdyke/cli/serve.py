"""Run a daemon until a signal ends it."""

import signal

import anyio
import click
from absl import logging

from currantdyke.cli.files import read_checked
from currantdyke.daemon import Ports, serve
from currantdyke.logs import set_up_logs
from currantdyke.settings import DaemonSettings, check_settings

__all__ = ["serve_command"]


@click.command("serve")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def serve_command(settings_file: str) -> None:
    """Run a daemon with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT shuts it down: every request in flight is finished, then it
    exits 0. Exits 2 where the settings are not valid.
    """
    settings = read_checked(settings_file, check_settings)
    set_up_logs(settings.log_format)
    anyio.run(_serve_until_signal, settings)


async def _serve_until_signal(settings: DaemonSettings) -> None:
    stop = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return

    def announce(ports: Ports) -> None:
        logging.info(
            "callers at %s, operators at %s", ports.callers_url, ports.operators_url
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals)
        await serve(settings, stop, started=announce)
        tasks.cancel_scope.cancel()

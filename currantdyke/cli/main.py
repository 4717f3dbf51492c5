"""The commands of the one binary."""

import pathlib
import signal

import anyio
import click
from absl import logging

import currantdyke
from currantdyke.bundle import check_bundle
from currantdyke.cli.config import config
from currantdyke.cli.demo import run_demo
from currantdyke.cli.request import request_command
from currantdyke.cli.timeline import timeline_command
from currantdyke.daemon import Ports, serve
from currantdyke.documents import check_document
from currantdyke.settings import DaemonSettings

__all__ = ["main"]

EXIT_INVALID = 2


@click.group()
@click.version_option(currantdyke.__version__, prog_name="currantdyke")
def main() -> None:
    """Serve multi-stage model pipelines behind one deadline."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


main.add_command(config)
main.add_command(request_command)
main.add_command(timeline_command)


@main.command("serve")
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def serve_command(settings_file: str) -> None:
    """Run a daemon with the settings in SETTINGS_FILE."""
    text = pathlib.Path(settings_file).read_text()
    checked = check_document(text, DaemonSettings)
    if checked.is_error():
        _show_problems(settings_file, checked.error)
        raise SystemExit(EXIT_INVALID)
    anyio.run(_serve_until_signal, checked.ok)


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


@main.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check_command(file: str) -> None:
    """Check a bundle in FILE and show what is wrong with it."""
    checked = check_bundle(pathlib.Path(file).read_text())
    if checked.is_error():
        _show_problems(file, checked.error)
        raise SystemExit(EXIT_INVALID)
    click.echo(f"{file}: valid")


@main.command("demo")
def demo_command() -> None:
    """Run a small fleet in this process and send one request through it."""
    logging.set_verbosity(logging.WARNING)
    anyio.run(run_demo)


def _show_problems(file: str, problems) -> None:
    for problem in problems:
        click.echo(f"{file}: {problem}", err=True)

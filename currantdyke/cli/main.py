"""Entry point of the command line."""

import anyio
import click
from absl import logging

import currantdyke
from currantdyke.cli.check import check_command
from currantdyke.cli.demo import run_demo
from currantdyke.cli.explain import explain_command
from currantdyke.cli.ready import ready_command
from currantdyke.cli.request import request_command
from currantdyke.cli.serve import serve_command
from currantdyke.cli.timeline import timeline_command
from currantdyke.logs import set_up_logs

__all__ = ["main"]


@click.group()
@click.version_option(currantdyke.__version__, prog_name="currantdyke")
def main() -> None:
    """Serve multi-stage model pipelines, with one deadline per request.

    Exit codes: 0 success; 1 failure, negative result or nothing found; 2 invalid file
    or option; other codes are described in the help of each command.
    """


@main.command("demo")
def demo_command() -> None:
    """Run a daemon and stub endpoints in this process, and send one request."""
    set_up_logs(verbosity=logging.WARNING)
    anyio.run(run_demo)


main.add_command(check_command)
main.add_command(explain_command)
main.add_command(ready_command)
main.add_command(request_command)
main.add_command(serve_command)
main.add_command(timeline_command)

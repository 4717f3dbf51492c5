"""The commands of the one binary."""

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
    """Serve multi-stage model pipelines behind one deadline.

    Exit codes: 0 done; 1 the answer is no, or nothing was found; 2 a file or an
    option is not valid; others as each command's help says.
    """


@main.command("demo")
def demo_command() -> None:
    """Run a daemon and endpoints in this process, and send one request."""
    set_up_logs(verbosity=logging.WARNING)
    anyio.run(run_demo)


main.add_command(check_command)
main.add_command(explain_command)
main.add_command(ready_command)
main.add_command(request_command)
main.add_command(serve_command)
main.add_command(timeline_command)

"""Command that explains from decision logs what happened to a request."""

import itertools

import click

from currantdyke.decisionlog.explain import Explanation, explain

__all__ = ["explain_command"]

EXIT_NOTHING_FOUND = 1
COMMON_FIELDS = frozenset(("time", "steady", "daemon", "event"))


@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain_command(request: str, files: tuple) -> None:
    """Explain from the decision logs in FILES what happened to REQUEST, an attempt id.

    Prints the state changes that its entry daemon logged shortly before the request
    ended, then the log lines of the request, then the time that it spent. Exits 1 if
    no line refers to the request: its lines may have been dropped (look for
    lines_dropped), or the log of a daemon is missing.
    """
    explanation = explain(request, itertools.chain.from_iterable(files))
    if not explanation.lines:
        click.echo(f"no log line refers to {request}", err=True)
        raise SystemExit(EXIT_NOTHING_FOUND)
    print_explanation(explanation)


def print_explanation(explanation: Explanation) -> None:
    """Print an explanation as text."""
    start = explanation.lines[0]["time"]
    for title, lines in (
        ("before:", explanation.state_changes),
        ("request:", explanation.lines),
    ):
        click.echo(title)
        for line in lines:
            fields = {k: v for k, v in line.items() if k not in COMMON_FIELDS}
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            elapsed = line["time"] - start
            click.echo(f"{elapsed:>9.3f}  {line['daemon']}  {line['event']}  {text}")
    click.echo("time:")
    for part, seconds in explanation.time_breakdown():
        click.echo(f"{seconds:>9.3f}  {part}")

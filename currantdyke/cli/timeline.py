"""Command that shows the timeline of a request across daemons."""

import json

import anyio
import attrs
import click
import httpx

from currantdyke.events import (
    Event,
    GatheredTimeline,
    chrome_trace,
    gather_timeline,
)

__all__ = ["print_events", "timeline_command"]

EXIT_NOTHING_FOUND = 1
EXIT_INCOMPLETE = 3


@click.command("timeline")
@click.option(
    "--request", "request_id", default="", help="Show only the events of this request."
)
@click.option(
    "--daemon",
    "daemons",
    multiple=True,
    default=("http://127.0.0.1:8081",),
    show_default=True,
    help="Base URL of a daemon's operator API; may be given several times.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json", "chrome"]),
    default="table",
    show_default=True,
)
def timeline_command(request_id: str, daemons: tuple[str, ...], output: str) -> None:
    """Collect events from daemons and show them in order of hybrid logical time.

    Exits 1 if no events were found, and 3 if a daemon did not answer, in which case
    the timeline may be incomplete.
    """
    gathered = anyio.run(_gather_events, request_id, daemons)
    if output == "table":
        print_events(gathered.events)
    elif output == "json":
        click.echo(json.dumps([attrs.asdict(e) for e in gathered.events], indent=1))
    else:
        click.echo(json.dumps(chrome_trace(gathered.events)))
    for url, detail in gathered.errors.items():
        click.echo(f"no answer from {url}: {detail}", err=True)
    if gathered.errors:
        raise SystemExit(EXIT_INCOMPLETE)
    if not gathered.events:
        click.echo("no events found; a daemon keeps only its latest events", err=True)
        raise SystemExit(EXIT_NOTHING_FOUND)


async def _gather_events(request_id: str, daemons: tuple[str, ...]) -> GatheredTimeline:
    async with httpx.AsyncClient() as client:
        return await gather_timeline(client, daemons, request_id=request_id)


def print_events(events: list[Event]) -> None:
    """Print events as a table, with milliseconds since the first event."""
    if not events:
        return
    start = events[0].time.wall
    click.echo(
        f"{'ms':>9}  {'daemon':<10}{'duty':<10}{'event':<13}"
        f"{'stage':<12}{'endpoint':<16}detail"
    )
    for event in events:
        elapsed_ms = (event.time.wall - start) / 1000
        click.echo(
            f"{elapsed_ms:>9.1f}  {event.daemon:<10}{event.duty:<10}{event.name:<13}"
            f"{event.stage:<12}{event.endpoint:<16}{event.detail}"
        )

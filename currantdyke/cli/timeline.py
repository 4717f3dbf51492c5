"""Show the time line of a request over all daemons."""

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

__all__ = ["show_events", "timeline_command"]

EXIT_NOTHING_FOUND = 1
EXIT_INCOMPLETE = 3


@click.command("timeline")
@click.option("--request", "request_id", default="", help="Only this request's events.")
@click.option(
    "--daemon",
    "daemons",
    multiple=True,
    default=("http://127.0.0.1:8081",),
    show_default=True,
    help="Base URL of an operators' face; may be given several times.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json", "chrome"]),
    default="table",
    show_default=True,
)
def timeline_command(request_id: str, daemons: tuple[str, ...], output: str) -> None:
    """Gather events from daemons and show them in one order.

    Exits 1 where nothing was found, and 3 where a daemon did not answer, so that
    the time line may have gaps.
    """
    gathered = anyio.run(_gather, request_id, daemons)
    if output == "table":
        show_events(gathered.events)
    elif output == "json":
        click.echo(json.dumps([attrs.asdict(e) for e in gathered.events], indent=1))
    else:
        click.echo(json.dumps(chrome_trace(gathered.events)))
    for url, detail in gathered.missing.items():
        click.echo(f"no answer from {url}: {detail}", err=True)
    if gathered.missing:
        raise SystemExit(EXIT_INCOMPLETE)
    if not gathered.events:
        click.echo("no events; the ring keeps only the latest", err=True)
        raise SystemExit(EXIT_NOTHING_FOUND)


async def _gather(request_id: str, daemons: tuple[str, ...]) -> GatheredTimeline:
    async with httpx.AsyncClient() as client:
        return await gather_timeline(client, daemons, request_id=request_id)


def show_events(events: list[Event]) -> None:
    """Print events as a table, with milliseconds since the first."""
    if not events:
        return
    first = events[0].time.wall
    click.echo(
        f"{'ms':>9}  {'daemon':<10}{'duty':<10}{'event':<13}"
        f"{'stage':<12}{'endpoint':<16}detail"
    )
    for event in events:
        since = (event.time.wall - first) / 1000
        click.echo(
            f"{since:>9.1f}  {event.daemon:<10}{event.duty:<10}{event.name:<13}"
            f"{event.stage:<12}{event.endpoint:<16}{event.detail}"
        )

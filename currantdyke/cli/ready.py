"""Command that shows which daemons accept requests."""

import json
from typing import Any

import anyio
import attrs
import click
import httpx
import msgspec

__all__ = ["ready_command"]

# A daemon that does not respond within this time cannot serve requests either.
REQUEST_TIMEOUT_SECONDS = 3.0
EXIT_NOT_READY = 1
EXIT_INCOMPLETE = 3
DEFAULT_DAEMON = "http://127.0.0.1:8081"


@attrs.frozen(kw_only=True)
class ReadinessResult:
    """Readiness reported by a daemon, or the reason why there is none."""

    daemon: str
    body: dict[str, Any] | None
    detail: str = ""


@click.command("ready")
@click.option(
    "--daemon",
    "daemons",
    multiple=True,
    default=(DEFAULT_DAEMON,),
    show_default=True,
    help="Base URL of a daemon's operator API; may be given several times.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
def ready_command(daemons: tuple[str, ...], output: str) -> None:
    """Show which daemons accept requests, and the bundle version that each uses.

    Exits 1 if a daemon is not ready, and 3 if a daemon did not answer.
    """
    results = anyio.run(_fetch_all, daemons)
    if output == "json":
        click.echo(
            json.dumps({result.daemon: result.body for result in results}, indent=1)
        )
    else:
        _print_table(results)
    unanswered = [result for result in results if result.body is None]
    for result in unanswered:
        click.echo(f"no answer from {result.daemon}: {result.detail}", err=True)
    if unanswered:
        raise SystemExit(EXIT_INCOMPLETE)
    if not all(result.body and result.body["ready"] for result in results):
        raise SystemExit(EXIT_NOT_READY)


def _print_table(results: list[ReadinessResult]) -> None:
    click.echo(f"{'daemon':<32}{'ready':<8}version")
    for result in results:
        body = result.body or {"ready": "unknown", "version": "unknown"}
        state = str(body["ready"]).lower()
        click.echo(f"{result.daemon:<32}{state:<8}{body['version']}")


async def _fetch_all(daemons: tuple[str, ...]) -> list[ReadinessResult]:
    results: dict[str, ReadinessResult] = {}

    async def fetch(client: httpx.AsyncClient, daemon: str) -> None:
        results[daemon] = await _fetch_readiness(client, daemon)

    async with (
        httpx.AsyncClient(timeout=REQUEST_TIMEOUT_SECONDS) as client,
        anyio.create_task_group() as tasks,
    ):
        for daemon in daemons:
            tasks.start_soon(fetch, client, daemon)
    return [results[daemon] for daemon in daemons]


async def _fetch_readiness(client: httpx.AsyncClient, daemon: str) -> ReadinessResult:
    try:
        response = await client.get(f"{daemon}/ready")
        body = msgspec.json.decode(response.content, type=dict[str, Any])
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        return ReadinessResult(daemon=daemon, body=None, detail=f"{error!r:.200}")
    return ReadinessResult(daemon=daemon, body=body)

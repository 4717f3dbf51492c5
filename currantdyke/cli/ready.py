"""Show which daemons take requests."""

import json
from typing import Any

import anyio
import attrs
import click
import httpx
import msgspec

__all__ = ["ready_command"]

# A daemon that answers no page for so long serves nobody either.
CALL_TIMEOUT_SECONDS = 3.0
EXIT_NOT_READY = 1
EXIT_INCOMPLETE = 3
DEFAULT_DAEMON = "http://127.0.0.1:8081"


@attrs.frozen(kw_only=True)
class Answer:
    """What one daemon's operators' face said, or why it said nothing."""

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
    help="Base URL of an operators' face; may be given several times.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
def ready_command(daemons: tuple[str, ...], output: str) -> None:
    """Show which daemons take requests, and the version that each serves by.

    Exits 1 where a daemon is not ready, and 3 where one did not answer.
    """
    answers = anyio.run(_ask_all, daemons)
    if output == "json":
        click.echo(json.dumps({a.daemon: a.body for a in answers}, indent=1))
    else:
        _show(answers)
    silent = [answer for answer in answers if answer.body is None]
    for answer in silent:
        click.echo(f"no answer from {answer.daemon}: {answer.detail}", err=True)
    if silent:
        raise SystemExit(EXIT_INCOMPLETE)
    if not all(answer.body and answer.body["ready"] for answer in answers):
        raise SystemExit(EXIT_NOT_READY)


def _show(answers: list[Answer]) -> None:
    click.echo(f"{'daemon':<32}{'ready':<8}version")
    for answer in answers:
        body = answer.body or {"ready": "unknown", "version": "unknown"}
        state = str(body["ready"]).lower()
        click.echo(f"{answer.daemon:<32}{state:<8}{body['version']}")


async def _ask_all(daemons: tuple[str, ...]) -> list[Answer]:
    answers: dict[str, Answer] = {}

    async def ask(client: httpx.AsyncClient, daemon: str) -> None:
        answers[daemon] = await _ask(client, daemon)

    async with (
        httpx.AsyncClient(timeout=CALL_TIMEOUT_SECONDS) as client,
        anyio.create_task_group() as tasks,
    ):
        for daemon in daemons:
            tasks.start_soon(ask, client, daemon)
    return [answers[daemon] for daemon in daemons]


async def _ask(client: httpx.AsyncClient, daemon: str) -> Answer:
    try:
        response = await client.get(f"{daemon}/ready")
        body = msgspec.json.decode(response.content, type=dict[str, Any])
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        return Answer(daemon=daemon, body=None, detail=f"{error!r:.200}")
    return Answer(daemon=daemon, body=body)

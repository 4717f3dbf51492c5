"""Show the daemons of a fleet, as one of them or each of them sees it."""

import json
from typing import Any

import anyio
import attrs
import click
import httpx
import msgspec

__all__ = ["fleet"]

CALL_TIMEOUT_SECONDS = 3.0
EXIT_NOT_WHOLE = 1
EXIT_INCOMPLETE = 3
DEFAULT_DAEMON = "http://127.0.0.1:8081"
COLUMNS = ("name", "status", "region", "availability_zone", "address", "url")


@attrs.frozen(kw_only=True)
class Answer:
    """What one daemon's operators' face said, or why it said nothing."""

    daemon: str
    body: dict[str, Any] | None
    detail: str = ""


daemon_option = click.option(
    "--daemon",
    "daemons",
    multiple=True,
    default=(DEFAULT_DAEMON,),
    show_default=True,
    help="Base URL of an operators' face; may be given several times.",
)
output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)


@click.group()
def fleet() -> None:
    """Show the daemons of a fleet."""


@fleet.command()
@daemon_option
@output_option
def members(daemons: tuple[str, ...], output: str) -> None:
    """Show who each daemon believes to be alive, suspect, dead or gone.

    Exits 1 where a member is not alive, and 3 where a daemon did not answer.
    """
    answers = anyio.run(_ask_all, daemons, "/members")
    bodies = [answer.body for answer in answers if answer.body is not None]
    if output == "json":
        click.echo(json.dumps(bodies, indent=1))
    for body in bodies:
        if output == "table":
            _show_members(body)
    _exit_on_silence(answers)
    found = [member for body in bodies for member in body["members"]]
    if any(member["status"] != "alive" for member in found):
        raise SystemExit(EXIT_NOT_WHOLE)


@fleet.command()
@daemon_option
@output_option
def ready(daemons: tuple[str, ...], output: str) -> None:
    """Show which daemons take requests, and the version that each serves by.

    Exits 1 where a daemon is not ready, and 3 where one did not answer.
    """
    answers = anyio.run(_ask_all, daemons, "/ready")
    if output == "json":
        click.echo(json.dumps({a.daemon: a.body for a in answers}, indent=1))
    else:
        click.echo(f"{'daemon':<32}{'ready':<8}version")
        for answer in answers:
            body = answer.body or {"ready": "unknown", "version": "unknown"}
            state = str(body["ready"]).lower()
            click.echo(f"{answer.daemon:<32}{state:<8}{body['version']}")
    _exit_on_silence(answers)
    if not all(answer.body and answer.body["ready"] for answer in answers):
        raise SystemExit(EXIT_NOT_WHOLE)


def _show_members(body: dict[str, Any]) -> None:
    if body.get("alone"):
        click.echo("this daemon has no peer keys and knows no other")
        return
    click.echo(f"as {body['daemon']} sees it")
    click.echo("  ".join(f"{name:<18}" for name in COLUMNS).rstrip())
    for member in sorted(body["members"], key=lambda found: found["name"]):
        row = "  ".join(f"{member[name]:<18}" for name in COLUMNS)
        click.echo(row.rstrip())


def _exit_on_silence(answers: list[Answer]) -> None:
    silent = [answer for answer in answers if answer.body is None]
    for answer in silent:
        click.echo(f"no answer from {answer.daemon}: {answer.detail}", err=True)
    if silent:
        raise SystemExit(EXIT_INCOMPLETE)


async def _ask_all(daemons: tuple[str, ...], path: str) -> list[Answer]:
    answers: dict[str, Answer] = {}

    async def ask(client: httpx.AsyncClient, daemon: str) -> None:
        answers[daemon] = await _ask(client, daemon, path)

    async with (
        httpx.AsyncClient(timeout=CALL_TIMEOUT_SECONDS) as client,
        anyio.create_task_group() as tasks,
    ):
        for daemon in daemons:
            tasks.start_soon(ask, client, daemon)
    return [answers[daemon] for daemon in daemons]


async def _ask(client: httpx.AsyncClient, daemon: str, path: str) -> Answer:
    try:
        response = await client.get(daemon + path)
        body = msgspec.json.decode(response.content, type=dict[str, Any])
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        return Answer(daemon=daemon, body=None, detail=f"{error!r:.200}")
    return Answer(daemon=daemon, body=body)

"""The commands that change the configuration and show it."""

import functools
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import click
import httpx
import yaml
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from currantdyke.bundle import check_bundle
from currantdyke.bundle.change import Proposal, Signer, edits_between
from currantdyke.bundle.content import Content
from currantdyke.bundle.lifecycle import (
    current_version,
    history,
    propose,
    propose_roll_back,
    proposed_edits,
    sign_off,
)
from currantdyke.bundle.roll import roll
from currantdyke.bundle.trouble import LostRace
from currantdyke.cli.config_show import (
    daemon_states,
    edit_lines,
    history_lines,
    status_lines,
)
from currantdyke.cli.files import EXIT_INVALID, read_checked
from currantdyke.store import EtcdStore, Store

__all__ = ["Tools", "config"]

EXIT_REFUSED = 1
EXIT_LOST_RACE = 3
EXIT_LAGGING = 4
HISTORY_VERSIONS = 20
KEY_FILE_MODE = 0o600
STORE_PATIENCE_SECONDS = 10.0


@attrs.define(kw_only=True)
class Tools:
    """How commands reach the store and the daemons."""

    client: Callable[[], httpx.AsyncClient] = httpx.AsyncClient
    run: Callable[..., Any] = anyio.run


def _option(*names: str, **arguments: Any):
    return click.option(*names, **arguments)


store_option = _option(
    "--store", "store_url", required=True, envvar="CURRANTDYKE_STORE", metavar="URL"
)
file_argument = click.argument("file", type=click.Path(exists=True, dir_okay=False))


def signer_options(command):
    """Add the options that say who signs, and with which key."""
    added = (
        _option("--operator", required=True, envvar="CURRANTDYKE_OPERATOR"),
        _option(
            "--key",
            "key_file",
            required=True,
            envvar="CURRANTDYKE_KEY",
            type=click.Path(exists=True, dir_okay=False),
            help="PEM file of the operator's Ed25519 private key.",
        ),
        _option(
            "--bootstrap-operators",
            "bootstrap_file",
            type=click.Path(exists=True, dir_okay=False),
            help="YAML of names and public keys; for the very first version.",
        ),
        store_option,
    )
    for option in reversed(added):
        command = option(command)
    return command


@click.group()
@click.pass_context
def config(context: click.Context) -> None:
    """Change the fleet's configuration, and see what is in force."""
    context.obj = context.obj or Tools()


@config.command("key")
@click.argument("file", type=click.Path(exists=False))
def key_command(file: str) -> None:
    """Make an operator's private key in FILE and print its public key."""
    key = Ed25519PrivateKey.generate()
    path = pathlib.Path(file)
    path.touch(mode=KEY_FILE_MODE, exist_ok=False)
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    click.echo(key.public_key().public_bytes_raw().hex())


@config.command("check")
@file_argument
def check_command(file: str) -> None:
    """Check the bundle in FILE and show what is wrong with it."""
    read_checked(file, check_bundle)
    click.echo(f"{file}: valid")


@config.command("diff")
@file_argument
@store_option
@click.pass_obj
def diff_command(tools: Tools, file: str, store_url: str) -> None:
    """Show what FILE would change in the version at the head."""
    content = Content.of_bundle(read_checked(file, check_bundle))

    async def run(store: Store, client: httpx.AsyncClient):
        return await current_version(store)

    base = _ok(_with_store(tools, store_url, run))
    edits = edits_between(base.content, content)
    for line in edit_lines(edits, base.content):
        click.echo(line)
    click.echo(f"{len(edits)} items differ from version {base.number}")


@config.command("propose")
@file_argument
@_option("--comment", default="")
@signer_options
@click.pass_obj
def propose_command(
    tools: Tools, file: str, comment: str, store_url: str, **signer: Any
) -> None:
    """Propose that the bundle in FILE takes the place of the version at the head."""
    bundle, proposer = read_checked(file, check_bundle), _signer(signer)
    bootstrap = _bootstrap(signer)

    async def run(store: Store, client: httpx.AsyncClient):
        return await propose(
            store, bundle, proposer, comment=comment, bootstrap=bootstrap
        )

    _show_proposal(_ok(_with_store(tools, store_url, run)))


@config.command("sign-off")
@click.argument("change_id")
@_option("--yes", is_flag=True, help="Do not ask.")
@signer_options
@click.pass_obj
def sign_off_command(
    tools: Tools, change_id: str, yes: bool, store_url: str, **signer: Any
) -> None:
    """Show the change CHANGE_ID and sign it off."""
    who, bootstrap = _signer(signer), _bootstrap(signer)

    async def look(store: Store, client: httpx.AsyncClient):
        return await proposed_edits(store, change_id)

    async def run(store: Store, client: httpx.AsyncClient):
        return await sign_off(store, change_id, who, shown=change, bootstrap=bootstrap)

    change, edits, content = _ok(_with_store(tools, store_url, look))
    for line in edit_lines(edits, content):
        click.echo(line)
    if not yes:
        click.confirm(f"sign off these {len(edits)} edits?", abort=True)
    signed = _ok(_with_store(tools, store_url, run))
    click.echo(f"change {change_id} is signed off by {signed.signed_off.operator}")


@config.command("roll")
@click.argument("change_id")
@_option("--rebase", is_flag=True, help="Go on over changes to other items.")
@signer_options
@click.pass_obj
def roll_command(
    tools: Tools, change_id: str, rebase: bool, store_url: str, **signer: Any
) -> None:
    """Bring the signed-off change CHANGE_ID into force."""
    who, bootstrap = _signer(signer), _bootstrap(signer)

    async def run(store: Store, client: httpx.AsyncClient):
        return await roll(store, change_id, who, rebase=rebase, bootstrap=bootstrap)

    head = _ok(_with_store(tools, store_url, run))
    click.echo(f"change {change_id} is version {head.version}")


@config.command("roll-back")
@click.argument("version", type=int)
@_option("--comment", default="")
@signer_options
@click.pass_obj
def roll_back_command(
    tools: Tools, version: int, comment: str, store_url: str, **signer: Any
) -> None:
    """Propose a new version with the content of VERSION."""
    who = _signer(signer)

    async def run(store: Store, client: httpx.AsyncClient):
        return await propose_roll_back(store, version, who, comment=comment)

    _show_proposal(_ok(_with_store(tools, store_url, run)))


@config.command("history")
@_option("--limit", default=HISTORY_VERSIONS, show_default=True)
@store_option
@click.pass_obj
def history_command(tools: Tools, limit: int, store_url: str) -> None:
    """Show the newest versions: who, when, and what."""

    async def run(store: Store, client: httpx.AsyncClient):
        return await history(store, limit)

    for line in history_lines(_ok(_with_store(tools, store_url, run))):
        click.echo(line)


@config.command("status")
@_option("--daemon", "urls", multiple=True, metavar="URL", help="An operators' face.")
@store_option
@click.pass_obj
def status_command(tools: Tools, urls: tuple[str, ...], store_url: str) -> None:
    """Show the version in force per daemon, and who lags."""

    async def run(store: Store, client: httpx.AsyncClient):
        return await history(store, 1), await daemon_states(client, urls)

    newest, states = _with_store(tools, store_url, run)
    if newest.is_error():
        click.echo(newest.error.message, err=True)
    records = newest.ok if newest.is_ok() else []
    lines, lagging = status_lines(records, states)
    for line in lines:
        click.echo(line)
    if lagging:
        raise SystemExit(EXIT_LAGGING)


def _with_store(
    tools: Tools,
    url: str,
    run: Callable[[Store, httpx.AsyncClient], Awaitable[Any]],
) -> Any:
    async def call() -> Any:
        async with tools.client() as client:
            store = EtcdStore(
                client=client, url=url, patience_seconds=STORE_PATIENCE_SECONDS
            )
            return await run(store, client)

    return tools.run(call)


def _ok(result: Any) -> Any:
    if result.is_ok():
        return result.ok
    click.echo(result.error.message, err=True)
    lost = isinstance(result.error, LostRace)
    raise SystemExit(EXIT_LOST_RACE if lost else EXIT_REFUSED)


def _signer(options: dict[str, Any]) -> Signer:
    raw = pathlib.Path(options["key_file"]).read_bytes()
    load = functools.partial(serialization.load_pem_private_key, password=None)
    try:
        key = load(raw)
    except ValueError:
        key = None
    if not isinstance(key, Ed25519PrivateKey):
        click.echo(
            f"{options['key_file']} holds no Ed25519 private key; "
            "make one with `config key`",
            err=True,
        )
        raise SystemExit(EXIT_INVALID)
    return Signer(name=options["operator"], private_key=key)


def _bootstrap(options: dict[str, Any]) -> dict[str, str] | None:
    file = options["bootstrap_file"]
    return yaml.safe_load(pathlib.Path(file).read_text()) if file else None


def _show_proposal(proposal: Proposal) -> None:
    change = proposal.change
    count = len(change.edits) or "many"
    click.echo(f"change {change.change_id}: {count} edits to {change.base_version}")
    click.echo("next: another operator runs `config sign-off`, then `config roll`")

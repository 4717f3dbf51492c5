"""Check a file before it is used."""

import pathlib

import click
import yaml

from currantdyke.bundle import check_bundle
from currantdyke.cli.files import read_checked
from currantdyke.settings import check_settings

__all__ = ["check_command"]

CHECKS = {"bundle": check_bundle, "settings": check_settings}


@click.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(sorted(CHECKS)),
    help="What FILE is; told from its keys by default.",
)
def check_command(file: str, kind: str | None) -> None:
    """Check a bundle or a daemon's settings in FILE.

    Shows everything that is wrong with its line and a remedy, and exits 2.
    """
    kind = kind or _guess_kind(pathlib.Path(file).read_text())
    read_checked(file, CHECKS[kind])
    click.echo(f"{file}: valid {kind}")


def _guess_kind(text: str) -> str:
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError:
        return "bundle"
    is_settings = isinstance(document, dict) and "store_url" in document
    return "settings" if is_settings else "bundle"

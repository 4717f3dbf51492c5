"""Check a file before it is used."""

import pathlib

import click
import yaml

from currantdyke.bundle import check_bundle
from currantdyke.cli.files import read_checked
from currantdyke.platform.deploy import check_deploy
from currantdyke.platform.settings import read_settings
from currantdyke.settings import check_settings

__all__ = ["check_command"]

CHECKS = {"bundle": check_bundle, "settings": check_settings}
PLATFORM_KINDS = ("deploy", "node")
EXIT_NOT_VALID = 2


@click.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(sorted([*CHECKS, *PLATFORM_KINDS])),
    help="What FILE is; told from its keys by default.",
)
def check_command(file: str, kind: str | None) -> None:
    """Check a bundle, a daemon's settings, or a file of the platform's in FILE.

    Of the platform's files, `deploy` is how it runs this system, and `node` the
    settings that it gives a process.

    Shows everything that is wrong with its line and a remedy, and exits 2.
    """
    path = pathlib.Path(file)
    kind = kind or _guess_kind(path)
    if kind in PLATFORM_KINDS:
        problems = _platform_problems(path, kind)
        for problem in problems:
            click.echo(f"{file}: {problem}", err=True)
        if problems:
            raise SystemExit(EXIT_NOT_VALID)
    else:
        read_checked(file, CHECKS[kind])
    click.echo(f"{file}: valid {kind}")


def _platform_problems(path: pathlib.Path, kind: str) -> list[str]:
    if kind == "deploy":
        return check_deploy(path.read_text())
    settings = read_settings(path)
    return [settings.error] if settings.is_error() else []


def _guess_kind(path: pathlib.Path) -> str:
    if path.suffix == ".toml":
        return "deploy"
    try:
        document = yaml.safe_load(path.read_text())
    except yaml.YAMLError:
        return "bundle"
    if not isinstance(document, dict):
        return "bundle"
    if "node_name" in document:
        return "node"
    return "settings" if "bundle_file" in document else "bundle"

"""Command that validates a file before it is used."""

import pathlib

import click
import yaml

from currantdyke.bundle import check_bundle
from currantdyke.cli.files import read_valid_file
from currantdyke.platform.deploy import check_deploy
from currantdyke.platform.settings import read_settings
from currantdyke.settings import check_settings

__all__ = ["check_command"]

CHECKERS = {"bundle": check_bundle, "settings": check_settings}
PLATFORM_KINDS = ("deploy", "node")
EXIT_INVALID = 2


@click.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(sorted([*CHECKERS, *PLATFORM_KINDS])),
    help="Kind of FILE; inferred from its suffix and keys by default.",
)
def check_command(file: str, kind: str | None) -> None:
    """Validate FILE: a bundle, the settings of a daemon, or a platform file.

    The kinds of platform files are `deploy`, which states how the platform runs this
    system, and `node`, the settings that the platform passes to a process.

    Prints each problem with a remedy, and with its line if known, and exits 2 if
    there is any.
    """
    path = pathlib.Path(file)
    kind = kind or _infer_kind(path)
    if kind in PLATFORM_KINDS:
        problems = _platform_problems(path, kind)
        for problem in problems:
            click.echo(f"{file}: {problem}", err=True)
        if problems:
            raise SystemExit(EXIT_INVALID)
    else:
        read_valid_file(file, CHECKERS[kind])
    click.echo(f"{file}: valid {kind}")


def _platform_problems(path: pathlib.Path, kind: str) -> list[str]:
    if kind == "deploy":
        return check_deploy(path.read_text())
    settings = read_settings(path)
    return [settings.error] if settings.is_error() else []


def _infer_kind(path: pathlib.Path) -> str:
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

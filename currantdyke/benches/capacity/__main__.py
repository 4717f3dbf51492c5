"""Measure the memory slopes of a daemon's state: ``make capacity``."""

import json
import pathlib

import attrs
import click

from currantdyke.benches.capacity.page import fill_page, state_table
from currantdyke.benches.capacity.state import STATES, measure_slope


@click.command()
@click.option(
    "--output", type=click.Path(), help="Write the slopes to this file as JSON."
)
@click.option(
    "--page", type=click.Path(exists=True), help="Replace the table in this page."
)
def main(output: str | None, page: str | None) -> None:
    """Measure the memory of each kind of state and print the table."""
    slopes = [measure_slope(name) for name in STATES]
    table = state_table(slopes)
    click.echo(table)
    if output:
        rows = [attrs.asdict(slope) for slope in slopes]
        pathlib.Path(output).write_text(json.dumps(rows, indent=1) + "\n")
    if page:
        fill_page(pathlib.Path(page), table)


if __name__ == "__main__":
    main()

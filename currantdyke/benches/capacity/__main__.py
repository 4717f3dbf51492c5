"""Measure the slopes of a daemon's state: ``make capacity``."""

import json
import pathlib

import attrs
import click

from currantdyke.benches.capacity.page import fill_page, state_table
from currantdyke.benches.capacity.state import STATES, measure_slope


@click.command()
@click.option("--output", type=click.Path(), help="Write the slopes as JSON there.")
@click.option("--page", type=click.Path(exists=True), help="Fill this page's table.")
def main(output: str | None, page: str | None) -> None:
    """Weigh each state at its sizes and print the table."""
    slopes = [measure_slope(name) for name in STATES]
    table = state_table(slopes)
    click.echo(table)
    if output:
        found = [attrs.asdict(slope) for slope in slopes]
        pathlib.Path(output).write_text(json.dumps(found, indent=1) + "\n")
    if page:
        fill_page(pathlib.Path(page), table)


if __name__ == "__main__":
    main()

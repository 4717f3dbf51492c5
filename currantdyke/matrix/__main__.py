"""Run the matrix and print its grid: ``python -m currantdyke.matrix``."""

import concurrent.futures
import itertools
import multiprocessing
import pathlib

import click

from currantdyke.matrix.cells import CellResult, run_cell
from currantdyke.matrix.faults import FAULTS
from currantdyke.matrix.steps import STEPS

WORKERS = 4
PAIRED_FAULTS = ("endpoint dead", "daemon killed", "endpoint silent", "answer lost")


def single_cells() -> list[tuple[tuple[str, ...], tuple[str, ...]]]:
    """Return every fault at every step."""
    return [((fault,), (step,)) for step in STEPS for fault in FAULTS]


def paired_cells() -> list[tuple[tuple[str, ...], tuple[str, ...]]]:
    """Return pairs of the severest faults at every two steps, in step order."""
    steps = list(itertools.combinations_with_replacement(STEPS, 2))
    faults = list(itertools.product(PAIRED_FAULTS, repeat=2))
    return [(pair, step) for step in steps for pair in faults]


def run_cells(cells, seed: int) -> list[CellResult]:
    """Run cells in worker processes and return the results in order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(WORKERS, context) as pool:
        futures = [pool.submit(run_cell, *cell, seed=seed) for cell in cells]
        return [future.result() for future in futures]


def cell_status(result: CellResult) -> str:
    """Return the status of a cell.

    ``RED`` if a guarantee was violated, ``n/r`` if no step was reached, ``whole`` if
    the caller got its complete answer, else ``held``.
    """
    if result.violations:
        return "RED"
    if not result.injected:
        return "n/r"
    return "whole" if result.answered else "held"


def format_grid(results: list[CellResult]) -> str:
    """Return the grid of single faults as a Markdown table."""
    by_cell = {(r.steps[0], r.faults[0]): cell_status(r) for r in results}
    head = "| fault | " + " | ".join(STEPS) + " |"
    rule = "| --- |" + " --- |" * len(STEPS)
    rows = [
        f"| {fault} | " + " | ".join(by_cell[step, fault] for step in STEPS) + " |"
        for fault in FAULTS
    ]
    return "\n".join((head, rule, *rows))


def format_counts(results: list[CellResult]) -> str:
    """Return the numbers of cells run, reached, held and red, as text."""
    statuses = [cell_status(result) for result in results]
    reached = len(statuses) - statuses.count("n/r")
    red = statuses.count("RED")
    return (
        f"{len(statuses)} cells run, {reached} reached, {reached - red} held "
        f"({statuses.count('whole')} with the whole answer), {red} red"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--output", type=click.Path(), help="Write the results to this page as well."
)
def main(seed: int, output: str | None) -> None:
    """Run every single fault and the pairs; exit 1 where a cell is red."""
    singles = run_cells(single_cells(), seed)
    pairs = run_cells(paired_cells(), seed)
    red = [result for result in singles + pairs if result.violations]
    lines = [
        f"Seed {seed}. Single faults: {format_counts(singles)}.",
        f"Pairs of faults: {format_counts(pairs)}.",
        "",
        "whole: every promise held and the caller got its whole answer; held: every",
        "promise held and the caller got a typed failure; n/r: the step is not",
        "reached, as a summary that is answered is never rejoined.",
        "",
        format_grid(singles),
        "",
        *(f"- RED {r.faults} at {r.steps}: {'; '.join(r.violations)}" for r in red),
    ]
    text = "\n".join(lines).rstrip() + "\n"
    click.echo(text)
    if output:
        title = "# Fault matrix of a request\n\nMade by `make matrix`.\n\n"
        pathlib.Path(output).write_text(title + text)
    raise SystemExit(1 if red else 0)


if __name__ == "__main__":
    main()

"""Command line of the benchmark."""

import concurrent.futures
import multiprocessing
import pathlib
import time

import click
from absl import logging

from currantdyke.benches.decisions.baselines import POLICIES
from currantdyke.benches.decisions.cell import run_cell
from currantdyke.benches.decisions.figures import Figures
from currantdyke.benches.decisions.report import (
    Key,
    format_table,
    make_row,
    write_plots,
    write_results,
)
from currantdyke.benches.decisions.scenarios import SCENARIOS
from currantdyke.benches.decisions.workload import USERS

__all__ = ["main"]

FIRST_SEED = 11


def run_seeded_cell(job: tuple[Key, int]) -> Figures:
    """Run one cell with one seed and return its figures."""
    logging.set_verbosity(logging.ERROR)
    (user, scenario, load, policy), seed = job
    tested = next(tested for tested in POLICIES if tested.name == policy)
    return run_cell(USERS[user], SCENARIOS[scenario], load, tested, seed)


def _parse_scenarios(text: str) -> list[tuple[str, float]]:
    pairs = []
    for part in text.split(","):
        name, _, load = part.partition("@")
        loads = (float(load),) if load else SCENARIOS[name].loads
        pairs += [(name, each) for each in loads]
    return pairs


@click.command()
@click.option("--seeds", default=5, help="Number of seeds per row.")
@click.option("--jobs", default=3, help="Processes.")
@click.option("--users", default=",".join(USERS), help="Users, separated by commas.")
@click.option(
    "--scenarios",
    default=",".join(SCENARIOS),
    help="Scenarios, separated by commas; NAME@LOAD selects one load.",
)
@click.option("--policies", default=",".join(t.name for t in POLICIES))
@click.option("--out", default="", help="Directory for the JSON results and plots.")
def main(
    seeds: int,
    jobs: int,
    users: str,
    scenarios: str,
    policies: str,
    out: str,
) -> None:
    """Run the benchmark and print a table of the results."""
    keys: list[Key] = [
        (user, scenario, load, policy)
        for user in users.split(",")
        for scenario, load in _parse_scenarios(scenarios)
        for policy in policies.split(",")
    ]
    runs = [(key, FIRST_SEED + n) for key in keys for n in range(seeds)]
    started = time.monotonic()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
        figures = list(pool.map(run_seeded_cell, runs, chunksize=1))
    rows = [
        make_row(key, figures[index * seeds : (index + 1) * seeds])
        for index, key in enumerate(keys)
    ]
    click.echo(format_table(rows))
    click.echo(f"{len(runs)} runs in {time.monotonic() - started:.0f} s")
    if out:
        write_results(rows, pathlib.Path(out) / "decisions.json")
        write_plots(rows, pathlib.Path(out))

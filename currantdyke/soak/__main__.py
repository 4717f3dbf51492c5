"""Run the soak: ``make soak SEED=1 MINUTES=1``."""

import functools
import sys

import anyio
import click

from currantdyke.soak.planted import PLANTED
from currantdyke.soak.world import soak

SECONDS_PER_MINUTE = 60.0


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    help="Number of seeds, run one after another.",
)
@click.option(
    "--minutes",
    default=0.5,
    show_default=True,
    help="Duration of the run of each seed.",
)
@click.option(
    "--planted",
    type=click.Choice(sorted(PLANTED)),
    default=None,
    help="Fault to inject into the gateways' code.",
)
def main(seed: int, seeds: int, minutes: float, planted: str | None) -> None:
    """Run gateways under faults and print a report; exit 1 on a violated guarantee."""
    failed = False
    for number in range(seed, seed + seeds):
        seconds = minutes * SECONDS_PER_MINUTE
        run = functools.partial(soak, number, seconds, planted=planted or "")
        report = anyio.run(run)
        print(report.text(), flush=True)
        failed = failed or bool(report.broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

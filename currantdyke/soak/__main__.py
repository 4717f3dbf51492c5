"""Run the soak: ``make soak SEED=1 MINUTES=1``."""

import functools
import sys

import anyio
import click

from currantdyke.soak.planted import PLANTED
from currantdyke.soak.world import GATEWAY_COUNT, SLOW_GATEWAY_COUNT, soak

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
@click.option(
    "--gateways",
    type=click.IntRange(1, 40),
    default=GATEWAY_COUNT,
    show_default=True,
    help="Number of gateways with fast links.",
)
@click.option(
    "--slow-gateways",
    type=click.IntRange(0, 10),
    default=SLOW_GATEWAY_COUNT,
    show_default=True,
    help="Number of gateways behind slow links.",
)
def main(
    seed: int,
    seeds: int,
    minutes: float,
    planted: str | None,
    gateways: int,
    slow_gateways: int,
) -> None:
    """Run gateways under faults and print a report; exit 1 on a violated guarantee."""
    failed: list[int] = []
    for number in range(seed, seed + seeds):
        seconds = minutes * SECONDS_PER_MINUTE
        run = functools.partial(
            soak,
            number,
            seconds,
            planted=planted or "",
            gateways=gateways,
            slow_gateways=slow_gateways,
        )
        report = anyio.run(run)
        print(report.text(), flush=True)
        if report.broken:
            failed.append(number)
    print(f"{len(failed)} of {seeds} seeds failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

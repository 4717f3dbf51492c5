"""Run the soak: ``make soak SEED=1 MINUTES=1``."""

import functools
import pathlib
import sys

import anyio
import click

from currantdyke.soak.patterns import PATTERNS
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
    "--pattern",
    "patterns",
    type=click.Choice(sorted(PATTERNS)),
    multiple=True,
    default=("faults",),
    show_default=True,
    help="Pattern of the run; may be given several times.",
)
@click.option(
    "--keep-logs",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Folder for the logs and the record of each run that fails.",
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
    patterns: tuple[str, ...],
    keep_logs: pathlib.Path | None,
    planted: str | None,
    gateways: int,
    slow_gateways: int,
) -> None:
    """Run gateways under faults and print a report; exit 1 on a violated guarantee."""
    failed: list[int] = []
    for number in range(seed, seed + seeds):
        for pattern in patterns:
            run = functools.partial(
                soak,
                number,
                minutes * SECONDS_PER_MINUTE,
                pattern=pattern,
                planted=planted or "",
                gateways=gateways,
                slow_gateways=slow_gateways,
                kept_logs=keep_logs,
            )
            report = anyio.run(run)
            print(report.text(), flush=True)
            if report.broken and number not in failed:
                failed.append(number)
    print(f"{len(failed)} of {seeds} seeds failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

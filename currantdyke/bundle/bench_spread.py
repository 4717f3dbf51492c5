"""Ways of spreading one accepted change, compared under failures.

Run ``python -m currantdyke.bundle.bench_spread``.
"""

import itertools
from collections.abc import Callable
from typing import Any

import click

from currantdyke.bundle.spread_model import Faults, Figures, SpreadModel
from currantdyke.bundle.spread_ways import (
    AllWatch,
    Epidemic,
    FixedTree,
    InterestedTree,
)

__all__ = ["FAULTS", "WAYS", "run_once"]

SIZES = (12, 100, 490)
SEEDS = (1, 2, 3)

FAULTS = {
    "none": Faults(),
    "20% loss": Faults(loss=0.2),
    "a third fails": Faults(failing=1 / 3),
    "both of these": Faults(loss=0.2, failing=1 / 3),
    "watchers fail": Faults(watchers_fail=True),
    "store down": Faults(store_down=True),
    "region parted": Faults(parted=True),
}

WAYS: dict[str, Callable[[SpreadModel], Any]] = {
    "all watch": AllWatch,
    "few, push-pull": Epidemic,
    "few, fixed tree": FixedTree,
    "interested tree": InterestedTree,
}


def run_once(way: str, size: int, fault: str, seed: int) -> Figures:
    """Run one way at one size under one fault."""
    faults = FAULTS[fault]
    return SpreadModel(size=size, way=WAYS[way], faults=faults, seed=seed).run()


def main() -> None:
    """Print the worst of the seeds for every way, size and fault."""
    click.echo(f"worst of seeds {SEEDS}; seconds to the last live daemon, after heal")
    click.echo(
        "| way | daemons | fault | seconds | messages | bytes a daemon "
        "| most bytes | store calls | most in 1 s |"
    )
    click.echo("|---|---|---|---|---|---|---|---|---|")
    for size, fault, way in itertools.product(SIZES, FAULTS, WAYS):
        runs = [run_once(way, size, fault, seed) for seed in SEEDS]
        worst = max(runs, key=lambda figures: figures.last)
        click.echo(
            f"| {way} | {size} | {fault} | {worst.after_heal:.3f} | {worst.messages} "
            f"| {worst.sent / size:.0f} | {worst.sent_most} | {worst.store_calls} "
            f"| {worst.store_peak} |"
        )


if __name__ == "__main__":
    main()

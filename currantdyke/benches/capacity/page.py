"""Format the measured table and write it into a page, such as docs/CAPACITY.md."""

import pathlib
from collections.abc import Sequence

from currantdyke.benches.capacity.plan import BUDGET, PLAN
from currantdyke.benches.capacity.state import Slope

__all__ = ["PLANNED_COUNTS", "fill_page", "state_table"]

BEGIN_MARK = "<!-- state begins -->"
END_MARK = "<!-- state ends -->"
MEBIBYTE = 1024 * 1024
# An owner receives 160 streams per second, and a chain lasts one second.
CHAINS_PER_OWNER = 160

# Number of items of each kind that a daemon holds at the planned fleet size.
PLANNED_COUNTS = {
    "workspace in force": PLAN.workspaces,
    "endpoint known": PLAN.endpoints,
    "daemon known": PLAN.daemons,
    "chain at an owner": CHAINS_PER_OWNER,
}


def state_table(slopes: Sequence[Slope]) -> str:
    """Return a Markdown table of the slopes and the memory at the planned size."""
    lines = [
        "| state | points | bytes each | spread | at the plan | MiB | µs each |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        count = PLANNED_COUNTS[slope.name]
        mebibytes = slope.per_item * count / MEBIBYTE
        lines.append(
            f"| {slope.name} | {', '.join(map(str, slope.sizes))} "
            f"| {slope.per_item:.0f} | {slope.spread:.1%} | {count:,} "
            f"| {mebibytes:.1f} | {slope.seconds_per_item * 1e6:.1f} |"
        )
    state_mebibytes = sum(
        slope.per_item * PLANNED_COUNTS[slope.name] / MEBIBYTE for slope in slopes
    )
    lines.append("")
    lines.append(
        f"State for control at the plan: {state_mebibytes:.1f} MiB of the "
        f"{BUDGET.control_mebibytes:.0f} MiB allowed, beside the program itself."
    )
    return "\n".join(lines)


def fill_page(page: pathlib.Path, table: str) -> None:
    """Replace the text between the begin and end marks of the page."""
    text = page.read_text()
    head, _, rest = text.partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    page.write_text(f"{head}{BEGIN_MARK}\n{table}\n{END_MARK}{tail}")

"""Tables, JSON results and plots of the benchmark."""

import json
import pathlib
import statistics
from collections.abc import Mapping, Sequence

import attrs
import matplotlib

from currantdyke.benches.decisions.figures import Figures

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["Row", "make_row", "write_plots", "write_results", "format_table"]

Key = tuple[str, str, float, str]
COLUMNS = (
    ("attainment", "attained", 3),
    ("bound", "bound", 3),
    ("work_share", "work", 2),
    ("cost", "cost s", 3),
    ("wasted", "wasted", 3),
    ("first_token_p95", "first token s", 2),
    ("between_tokens_p95", "between ms", 1),
    ("fairness", "fairness", 2),
    ("small_attainment", "small", 3),
    ("extra_attempts", "extra", 3),
    ("prefix_hits", "hits", 2),
    ("refused", "refused", 2),
    ("slow_share", "share of first", 3),
)


@attrs.frozen(kw_only=True)
class Row:
    """Means over the seeds, and the lowest and highest attainment."""

    key: Key
    means: dict[str, float]
    least: float
    most: float
    cost_by_stage: dict[str, float]


def make_row(key: Key, runs: Sequence[Figures]) -> Row:
    """Aggregate the figures of one cell over its seeds."""
    means = {
        name: statistics.fmean(getattr(figures, name) for figures in runs)
        for name, _, _ in COLUMNS
    }
    means["between_tokens_p95"] *= 1000.0
    attained = [figures.attainment for figures in runs]
    stages = sorted({name for figures in runs for name in figures.cost_by_stage})
    return Row(
        key=key,
        means=means,
        least=min(attained),
        most=max(attained),
        cost_by_stage={
            name: statistics.fmean(f.cost_by_stage.get(name, 0.0) for f in runs)
            for name in stages
        },
    )


def format_table(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    headers = ["user", "scenario", "load", "policy", "least..most"]
    headers += [title for _, title, _ in COLUMNS]
    lines = ["| " + " | ".join(headers) + " |", "|" + "---|" * len(headers)]
    for row in rows:
        user, scenario, load, policy = row.key
        cells = [user, scenario, f"{load:g}", policy]
        cells.append(f"{row.least:.3f}..{row.most:.3f}")
        cells += [f"{row.means[name]:.{digits}f}" for name, _, digits in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def write_results(rows: Sequence[Row], path: pathlib.Path) -> None:
    """Write the rows as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data = [attrs.asdict(row) for row in rows]
    path.write_text(json.dumps(_round_floats(data), indent=1) + "\n")


def _round_floats(value):
    if isinstance(value, float):
        return round(value, 5)
    if isinstance(value, Mapping):
        return {name: _round_floats(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_round_floats(item) for item in value]
    return value


def write_plots(rows: Sequence[Row], folder: pathlib.Path) -> None:
    """Plot attainment and wasted work against load, one image per user."""
    folder.mkdir(parents=True, exist_ok=True)
    for user in sorted({row.key[0] for row in rows}):
        steady = [r for r in rows if r.key[0] == user and r.key[1] == "steady"]
        figure, axes = pyplot.subplots(1, 2, figsize=(8, 3))
        for axis, name in zip(axes, ("attainment", "wasted"), strict=True):
            for policy in dict.fromkeys(row.key[3] for row in steady):
                policy_rows = [row for row in steady if row.key[3] == policy]
                loads = [row.key[2] for row in policy_rows]
                axis.plot(
                    loads, [r.means[name] for r in policy_rows], "o-", label=policy
                )
            axis.set_xlabel("load")
            axis.set_title(f"{user}: {name}")
        axes[0].legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(folder / f"decisions-{user}.png", dpi=70)
        pyplot.close(figure)

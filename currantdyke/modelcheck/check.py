"""Check of the invariants of a model."""

import attrs
import minicheck

__all__ = ["ModelReport", "check_model"]

MAX_STATES = 400_000


@attrs.frozen(kw_only=True)
class ModelReport:
    """Result of checking one model.

    Attributes
    ----------
    holds : dict
        Maps each invariant to True, False, or None if the search was incomplete.
    counterexample : tuple of str
        Transition labels of the shortest trace that violates an invariant.
    """

    name: str
    states: int
    exhaustive: bool
    holds: dict[str, bool | None]
    counterexample: tuple[str, ...] = ()

    @property
    def verdict(self) -> str:
        """Return ``proved``, ``refuted`` or ``undetermined``."""
        if False in self.holds.values():
            return "refuted"
        return "undetermined" if None in self.holds.values() else "proved"

    def text(self) -> str:
        """Return the report as text, one line plus one for a counterexample."""
        results = ", ".join(f"{name} {holds}" for name, holds in self.holds.items())
        lines = [f"{self.name}: {self.states} states, {results}: {self.verdict}"]
        if self.counterexample:
            lines.append("    " + " > ".join(self.counterexample))
        return "\n".join(lines)


def check_model(model: minicheck.Protocol, max_states: int = MAX_STATES) -> ModelReport:
    """Check a model by exploring at most ``max_states`` of its states."""
    result = minicheck.check_safety(model, max_states=max_states)
    properties = result["properties"]
    traces = [p["counterexample"] for p in properties.values() if p["holds"] is False]
    shortest = min(traces, key=len, default=())
    return ModelReport(
        name=model.name,
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        holds={name: found["holds"] for name, found in properties.items()},
        counterexample=tuple(step["label"] for step in shortest[1:]),
    )

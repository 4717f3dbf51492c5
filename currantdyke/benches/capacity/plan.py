"""The users' plan and budgets, as numbers."""

import attrs

__all__ = ["BUDGET", "PLAN", "Budget", "Plan"]


@attrs.frozen(kw_only=True)
class Plan:
    """The size to design for, of the whole fleet."""

    daemons: int = 490
    endpoints: int = 4_200
    workspaces: int = 17_000
    requests_per_second: float = 33_000.0


@attrs.frozen(kw_only=True)
class Budget:
    """What control may cost a daemon."""

    control_mebibytes: float = 64.0


PLAN = Plan()
BUDGET = Budget()

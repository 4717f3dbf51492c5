"""Planned fleet size and resource budgets, as required by the users."""

import attrs

__all__ = ["BUDGET", "PLAN", "Budget", "Plan"]


@attrs.frozen(kw_only=True)
class Plan:
    """The size of the whole fleet that the system is designed for."""

    daemons: int = 490
    endpoints: int = 4_200
    workspaces: int = 17_000
    requests_per_second: float = 33_000.0


@attrs.frozen(kw_only=True)
class Budget:
    """The memory that a daemon may use for control state."""

    control_mebibytes: float = 64.0


PLAN = Plan()
BUDGET = Budget()

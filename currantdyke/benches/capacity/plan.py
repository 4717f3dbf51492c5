"""The users' plan and budgets, as numbers."""

__all__ = ["BUDGET", "PLAN", "Budget", "Plan"]

import attrs


@attrs.frozen(kw_only=True)
class Plan:
    """The size to design for, of the whole fleet."""

    daemons: int = 490
    runners: int = 4_200
    workspaces: int = 17_000
    requests_per_second: float = 33_000.0
    tokens_per_second: float = 6.6e6
    changes_per_day: int = 16_000
    stages: int = 4
    charges_share: float = 0.02

    @property
    def requests_per_daemon(self) -> float:
        """Return requests a second at one daemon at the peak."""
        return self.requests_per_second / self.daemons

    @property
    def tokens_per_daemon(self) -> float:
        """Return tokens a second at one daemon at the peak."""
        return self.tokens_per_second / self.daemons

    @property
    def tokens_per_request(self) -> float:
        """Return tokens of a mean answer."""
        return self.tokens_per_second / self.requests_per_second


@attrs.frozen(kw_only=True)
class Budget:
    """What control may cost a daemon, and what the store takes."""

    control_core_share: float = 0.049
    control_mebibytes: float = 64.0
    control_bytes_per_second: float = 10_000.0
    store_writes_per_second: float = 300.0
    store_reads_per_second: float = 2_000.0


PLAN = Plan()
BUDGET = Budget()

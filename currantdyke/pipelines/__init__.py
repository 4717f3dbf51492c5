"""Execution of the stages of a request under one deadline."""

from currantdyke.pipelines.decisions import DecisionContext, Decisions
from currantdyke.pipelines.default_decisions import make_decisions
from currantdyke.pipelines.run import RunContext, run_request

__all__ = [
    "Decisions",
    "RunContext",
    "DecisionContext",
    "make_decisions",
    "run_request",
]

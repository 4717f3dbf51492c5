"""Execution of the stages of a request under one deadline."""

from currantdyke.pipelines.decisions import Decisions, StageNeed
from currantdyke.pipelines.default_decisions import make_decisions
from currantdyke.pipelines.run import RunParts, run_request

__all__ = ["Decisions", "RunParts", "StageNeed", "make_decisions", "run_request"]

"""Fault-injection matrix: every fault at every step, against the production code."""

from currantdyke.matrix.cells import CellResult, run_cell
from currantdyke.matrix.faults import FAULTS
from currantdyke.matrix.steps import STEPS

__all__ = ["FAULTS", "STEPS", "CellResult", "run_cell"]

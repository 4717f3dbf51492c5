"""HTTP API for operators."""

from currantdyke.operators.app import OperatorsFace, operators_app

__all__ = ["OperatorsFace", "operators_app"]

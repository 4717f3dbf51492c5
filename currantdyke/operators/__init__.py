"""HTTP API for operators."""

from currantdyke.operators.app import OperatorsContext, operators_app

__all__ = ["OperatorsContext", "operators_app"]

"""The operators' HTTP face."""

from currantdyke.operators.app import OperatorsFace, operators_app

__all__ = ["OperatorsFace", "operators_app"]

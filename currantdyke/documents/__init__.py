"""YAML documents checked into attrs classes, with line and remedy."""

from currantdyke.documents.check import Problem, check_document

__all__ = ["Problem", "check_document"]

"""Parsing and validation of YAML documents into attrs classes."""

from currantdyke.documents.check import Problem, check_document

__all__ = ["Problem", "check_document"]

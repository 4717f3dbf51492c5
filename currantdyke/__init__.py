"""A serving system for multi-stage model pipelines behind one deadline."""

__version__ = "0.1.0"

__all__ = ["__version__"]

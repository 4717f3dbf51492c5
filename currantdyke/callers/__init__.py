"""The callers' HTTP face."""

from currantdyke.callers.app import CallersFace, callers_app

__all__ = ["CallersFace", "callers_app"]

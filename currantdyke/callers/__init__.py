"""The callers' HTTP face."""

from currantdyke.callers.app import callers_app
from currantdyke.callers.face import CallersFace

__all__ = ["CallersFace", "callers_app"]

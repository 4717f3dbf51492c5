"""Request rate limits of workspaces."""

from currantdyke.limits.limits import WorkspaceLimits

__all__ = ["WorkspaceLimits"]

"""The bundle version that a daemon currently uses."""

from collections.abc import Callable

from currantdyke.bundle.schema import Bundle

__all__ = ["ActiveBundle"]


class ActiveBundle:
    """The active bundle, whose version only increases.

    A request reads ``bundle`` once, so that it keeps the version it started with.
    """

    def __init__(self):
        self.version = 0
        self.bundle: Bundle | None = None
        self.workspace_by_key_hash: dict[str, str] = {}
        self.listeners: list[Callable[[Bundle], None]] = []

    def subscribe(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` with each new bundle.

        Also calls it at once with the active bundle, if any.
        """
        self.listeners.append(listener)
        if self.bundle is not None:
            listener(self.bundle)

    def activate(self, version: int, bundle: Bundle) -> bool:
        """Activate a bundle if its version is higher; return whether that was so."""
        if version <= self.version:
            return False
        self.workspace_by_key_hash = {
            key_hash: name
            for name, workspace in bundle.workspaces.items()
            for key_hash in workspace.key_hashes
        }
        self.version = version
        self.bundle = bundle
        for listener in self.listeners:
            listener(bundle)
        return True

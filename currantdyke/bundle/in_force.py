"""The version of the bundle that a daemon serves by."""

from collections.abc import Callable

from currantdyke.bundle.schema import Bundle

__all__ = ["BundleInForce"]


class BundleInForce:
    """Holds the bundle in force; a version never goes back.

    A request keeps the bundle that it started with: it takes ``bundle`` once.
    """

    def __init__(self):
        self.version = 0
        self.bundle: Bundle | None = None
        self.key_owners: dict[str, str] = {}
        self.listeners: list[Callable[[Bundle], None]] = []

    def subscribe(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` with each bundle that comes into force."""
        self.listeners.append(listener)
        if self.bundle is not None:
            listener(self.bundle)

    def accept(self, version: int, bundle: Bundle) -> bool:
        """Put a version in force if it is higher; return whether it was."""
        if version <= self.version:
            return False
        self.key_owners = {
            key_hash: name
            for name, workspace in bundle.workspaces.items()
            for key_hash in workspace.key_hashes
        }
        self.version = version
        self.bundle = bundle
        for listener in self.listeners:
            listener(bundle)
        return True

"""What a daemon gives its peers of the configuration, and takes from them."""

import hashlib
from collections.abc import Callable

import cattrs
import msgspec

from currantdyke.bundle.in_force import BundleInForce
from currantdyke.bundle.schema import Bundle

__all__ = ["ConfigurationFeed"]


class ConfigurationFeed:
    """The version in force, as updates that peers hand to one another.

    Parameters
    ----------
    in_force : BundleInForce
        Where a verified update comes into force.
    """

    def __init__(self, *, in_force: BundleInForce):
        self.in_force = in_force
        self.listeners: list[Callable[[int], None]] = []
        in_force.subscribe(self._announce)

    @property
    def version(self) -> int:
        """Return the version in force; 0 where there is none."""
        return self.in_force.version

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with each version that comes into force."""
        self.listeners.append(callback)

    def update_since(self, version: int, max_bytes: int) -> bytes:
        """Return an update from ``version``, or nothing where none is newer.

        Parameters
        ----------
        version : int
            The version that the peer has.
        max_bytes : int
            The longest update to return, in bytes.
        """
        if version >= self.version:
            return b""
        content = msgspec.json.encode(cattrs.unstructure(self.in_force.bundle))
        digest = hashlib.sha256(content).hexdigest()
        update = msgspec.json.encode([self.version, digest, content.decode()])
        return update if len(update) <= max_bytes else b""

    def offer(self, update: bytes) -> bool:
        """Verify an update; return whether a higher version came into force."""
        try:
            version, digest, text = msgspec.json.decode(
                update, type=tuple[int, str, str]
            )
            if hashlib.sha256(text.encode()).hexdigest() != digest:
                return False
            bundle = cattrs.structure(msgspec.json.decode(text), Bundle)
        except (msgspec.MsgspecError, cattrs.BaseValidationError, UnicodeError):
            return False
        return self.in_force.accept(version, bundle)

    def _announce(self, bundle: Bundle) -> None:
        for listener in self.listeners:
            listener(self.version)

"""Checks of the settings that concern other daemons."""

from typing import Any

import attrs

__all__ = ["peer_addresses", "peer_keys"]

MIN_KEY_CHARACTERS = 16
MAX_PORT = 65_535


def peer_addresses(_: Any, attribute: attrs.Attribute, value: tuple[str, ...]) -> None:
    """Check addresses of the form ``host:port``."""
    for address in value:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(
                f"{attribute.name} has {address[:80]!r}; write it as host:port"
            )


def peer_keys(
    settings: Any, attribute: attrs.Attribute, value: tuple[str, ...]
) -> None:
    """Check that keys are long enough, and given where there are seeds."""
    if settings.peer_seeds and not value:
        raise ValueError(
            f"{attribute.name} is empty but peer_seeds is not; give at least one key"
        )
    if any(len(key) < MIN_KEY_CHARACTERS for key in value):
        raise ValueError(
            f"{attribute.name} has a key shorter than {MIN_KEY_CHARACTERS} "
            "characters; use a long random one"
        )

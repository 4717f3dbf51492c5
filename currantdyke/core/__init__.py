"""Types and functions shared by all packages: outcomes, failures, identities."""

from currantdyke.core.clocks import boot_time
from currantdyke.core.digest import digest_of
from currantdyke.core.failure import Failure, FailureKind, Outcome
from currantdyke.core.identity import (
    DaemonIdentity,
    RequestId,
    new_incarnation,
    parse_request_id,
)
from currantdyke.core.nesting import is_deeper_than
from currantdyke.core.position import Position

__all__ = [
    "DaemonIdentity",
    "Failure",
    "FailureKind",
    "Outcome",
    "Position",
    "RequestId",
    "boot_time",
    "digest_of",
    "is_deeper_than",
    "new_incarnation",
    "parse_request_id",
]

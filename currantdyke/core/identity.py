"""Identities of daemons and requests.

A request id names the daemon and the incarnation that runs the request, so that any
daemon can tell whether a request that it does not know ran elsewhere.
"""

import itertools
import secrets

import attrs
from expression import Error, Ok, Result

from currantdyke.core.failure import Failure, FailureKind

__all__ = [
    "DaemonIdentity",
    "RequestId",
    "new_incarnation",
    "parse_request_id",
]

SEPARATOR = "."
NONCE_BYTES = 8
INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a random incarnation, which identifies one run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


@attrs.frozen(kw_only=True)
class DaemonIdentity:
    """Identity of a daemon process: name, incarnation and availability zone."""

    name: str
    incarnation: str
    availability_zone: str = ""

    def request_ids(self):
        """Yield an endless sequence of request ids, unique across all daemons."""
        for number in itertools.count(1):
            nonce = secrets.token_hex(NONCE_BYTES)
            yield SEPARATOR.join(
                (self.name, self.incarnation, str(number), nonce),
            )


@attrs.frozen(kw_only=True)
class RequestId:
    """The parts of a request id."""

    daemon: str
    incarnation: str
    number: int
    nonce: str


def parse_request_id(text: str) -> Result[RequestId, Failure]:
    """Split a request id into its parts.

    Parameters
    ----------
    text : str
        A request id as sent by a caller.

    Returns
    -------
    Result[RequestId, Failure]
        The parts, or a failure of kind ``UNKNOWN_REQUEST``.

    Examples
    --------
    >>> parse_request_id("entry-1.ab12.7.ffee").ok.daemon
    'entry-1'
    >>> parse_request_id("nonsense").error.kind.code
    'unknown_request'
    """
    fields = text.split(SEPARATOR)
    if len(fields) != 4 or not all(fields) or not fields[2].isdecimal():
        return Error(
            Failure(
                kind=FailureKind.UNKNOWN_REQUEST,
                detail=f"{text[:80]!r} is not a request id",
            )
        )
    daemon, incarnation, number, nonce = fields
    return Ok(
        RequestId(
            daemon=daemon, incarnation=incarnation, number=int(number), nonce=nonce
        )
    )

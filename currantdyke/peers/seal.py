"""Authentication of peer messages by a keyed code.

Several keys are valid at once: a new key is first added to every daemon's list,
then moved to its head, and then the old one is taken out.
"""

import collections
import hashlib
import hmac
from collections.abc import Sequence

from expression import Error, Ok, Result

from currantdyke.peers.codec import decode_message, encode_message
from currantdyke.peers.messages import Message

__all__ = ["MessageSeal", "ReplayGuard"]

CODE_BYTES = 16
WINDOW_MESSAGES = 256
MAX_SENDERS = 4_096


class MessageSeal:
    """Seals messages with the first key, and opens those sealed with any.

    Parameters
    ----------
    keys : sequence of str
        The valid keys; may be replaced while running by `use_keys`.

    Examples
    --------
    >>> from currantdyke.peers import MessageKind
    >>> ping = Message(kind=MessageKind.PING, sender="entry-1", incarnation="ab")
    >>> sealed = MessageSeal(keys=["old"]).seal(ping)
    >>> MessageSeal(keys=["new", "old"]).open(sealed).ok == ping
    True
    >>> MessageSeal(keys=["new"]).open(sealed).error
    'stranger'
    """

    def __init__(self, *, keys: Sequence[str]):
        self.use_keys(keys)

    def use_keys(self, keys: Sequence[str]) -> None:
        """Replace the valid keys; the first one seals."""
        if not keys:
            raise ValueError("there are no peer keys; give at least one")
        self.keys = [hashlib.blake2b(key.encode()).digest() for key in keys]

    def seal(self, message: Message) -> bytes:
        """Return a message's bytes behind their code."""
        body = encode_message(message)
        return _code(self.keys[0], body) + body

    def open(self, data: bytes) -> Result[Message, str]:
        """Return the message in ``data``, or why it is dropped."""
        code, body = data[:CODE_BYTES], data[CODE_BYTES:]
        if not any(hmac.compare_digest(_code(key, body), code) for key in self.keys):
            return Error("stranger")
        decoded = decode_message(body)
        return Ok(decoded.ok) if decoded.is_ok() else Error("garbled")


def _code(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=CODE_BYTES).digest()


class ReplayGuard:
    """Remembers which numbers of each sender's incarnation have been seen.

    Datagrams may overtake one another, so a window below the highest number is
    kept; what is older than the window is taken for a replay.
    """

    def __init__(self):
        self.windows: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def is_new(self, sender: str, incarnation: str, number: int) -> bool:
        """Note a message's number; return whether it was not seen before."""
        key = f"{sender}.{incarnation}"
        highest, seen = self.windows.pop(key, (0, 0))
        is_new = True
        if number > highest:
            seen = (seen << min(number - highest, WINDOW_MESSAGES)) | 1
            seen &= (1 << WINDOW_MESSAGES) - 1
            highest = number
        else:
            bit = 1 << (highest - number)
            is_new = highest - number < WINDOW_MESSAGES and not seen & bit
            seen |= bit if is_new else 0
        self.windows[key] = (highest, seen)
        if len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        return is_new

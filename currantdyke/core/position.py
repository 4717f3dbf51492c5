"""Position in the history of a store that may return from an older copy."""

import attrs

__all__ = ["Position"]


@attrs.frozen(order=True)
class Position:
    """Era and revision of a state; a later era is newer, whatever the revisions.

    Attributes
    ----------
    era : int
        How often the store has returned from a copy, by its own count; 0 if it does
        not say.
    revision : int
        Number of changes within the history that the era began with; 0 before the
        first.

    Examples
    --------
    >>> Position(2, 110) > Position(1, 140)
    True
    """

    era: int = 0
    revision: int = 0

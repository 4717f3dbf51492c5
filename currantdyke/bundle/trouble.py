"""Why a step of a change was not taken, and how to go on."""

from collections.abc import Mapping

import attrs

from currantdyke.bundle.change import Head, Signer
from currantdyke.bundle.versions import Version

__all__ = ["LostRace", "Refused", "Trouble", "may_not_sign", "refused_by_store"]


@attrs.frozen(kw_only=True)
class Refused:
    """A step that was not taken, and what to do about it."""

    detail: str
    remedy: str

    @property
    def message(self) -> str:
        """Return detail and remedy in one line."""
        return f"{self.detail}; {self.remedy}"


@attrs.frozen(kw_only=True)
class LostRace:
    """Another change came first."""

    winner: Head
    overlap: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return who won, at which version, and how to go on."""
        won = (
            f"{self.winner.proposer}'s change {self.winner.change_id}, rolled by "
            f"{self.winner.rolled_by}, is version {self.winner.version}"
        )
        if self.overlap:
            paths = ", ".join(self.overlap[:5])
            return f"{won} and touches {paths} too; propose your change anew on it"
        return f"{won}; it does not touch your items: roll again with --rebase"


Trouble = Refused | LostRace


def refused_by_store(detail: str) -> Refused:
    """Return the refusal for a store that does not answer."""
    return Refused(detail=detail, remedy="nothing was changed: run the command again")


def may_not_sign(
    base: Version, signer: Signer, bootstrap: Mapping[str, str] | None
) -> Refused | None:
    """Return why an operator may not sign a change to a version, or None."""
    keys = base.operators if base.number else dict(bootstrap or {})
    if keys.get(signer.name) == signer.public_key:
        return None
    where = f"version {base.number}" if base.number else "the bootstrap operators"
    return Refused(
        detail=f"{signer.name} with this key is no operator of {where}",
        remedy="sign with the key of an operator named there",
    )

"""Propose a change or a roll-back, sign it off, and read the history."""

import secrets
from collections.abc import Mapping, Sequence

import attrs
from expression import Error, Ok, Result

from currantdyke.bundle.change import (
    Change,
    Edit,
    Proposal,
    Record,
    Signer,
    decode,
    edits_between,
    encode,
    wall_seconds,
)
from currantdyke.bundle.content import Content
from currantdyke.bundle.schema import Bundle
from currantdyke.bundle.stored import (
    DUTY,
    EDITS_PREFIX,
    proposal_key,
    read_content,
    read_edits,
    read_head,
    read_proposal,
    read_records,
    read_version,
    settled_write,
    write_part,
)
from currantdyke.bundle.trouble import (
    Refused,
    Trouble,
    may_not_sign,
    refused_by_store,
)
from currantdyke.bundle.versions import Version, applied
from currantdyke.store import Conflict, Store

__all__ = [
    "current_version",
    "history",
    "propose",
    "propose_roll_back",
    "proposed_edits",
    "sign_off",
]

MAX_INLINE_BYTES = 48_000
EDIT_PART_EDITS = 2_000
MAX_HISTORY_VERSIONS = 20_000
PROPOSAL_LEASE_SECONDS = 7 * 24 * 3600
CHANGE_ID_BYTES = 8


async def current_version(store: Store) -> Result[Version, Refused]:
    """Return the version at the head, whole; version 0 where there is none."""
    head = await read_head(store)
    if head.is_error():
        return Error(refused_by_store(head.error))
    if head.ok[0] is None:
        return Ok(Version())
    found = await read_version(store, head.ok[0])
    return found.map_error(refused_by_store)


async def propose(
    store: Store,
    bundle: Bundle,
    signer: Signer,
    *,
    comment: str = "",
    bootstrap: Mapping[str, str] | None = None,
) -> Result[Proposal, Trouble]:
    """Propose that a bundle takes the place of the version at the head.

    Parameters
    ----------
    bundle : Bundle
        The checked bundle.
    signer : Signer
        The operator who proposes.
    bootstrap : mapping, optional
        Public keys of the operators who may sign the very first version.
    """
    base = await current_version(store)
    if base.is_error():
        return Error(base.error)
    content = Content.of_bundle(bundle)
    if not bundle.operators:
        return Error(
            Refused(
                detail="the bundle names no operators",
                remedy="add operators, or nobody could change it again",
            )
        )
    return await _propose(store, base.ok, content, signer, bootstrap, comment=comment)


async def propose_roll_back(
    store: Store, version: int, signer: Signer, *, comment: str = ""
) -> Result[Proposal, Trouble]:
    """Propose a new version with the content of an earlier one."""
    base = await current_version(store)
    if base.is_error():
        return Error(base.error)
    found = await history(store, MAX_HISTORY_VERSIONS, down_to=version - 1)
    if found.is_error():
        return Error(found.error)
    if not found.ok or found.ok[-1].version != version:
        return Error(
            Refused(
                detail=f"version {version} is not in the history",
                remedy="choose one that `config history` shows",
            )
        )
    content = await read_content(store, found.ok[-1].root, base.ok.content)
    if content.is_error():
        return Error(refused_by_store(content.error))
    return await _propose(
        store, base.ok, content.ok, signer, None, comment=comment, restores=version
    )


async def _propose(
    store: Store,
    base: Version,
    content: Content,
    signer: Signer,
    bootstrap: Mapping[str, str] | None,
    *,
    comment: str,
    restores: int = 0,
) -> Result[Proposal, Trouble]:
    problem = may_not_sign(base, signer, bootstrap)
    if problem:
        return Error(problem)
    edits = edits_between(base.content, content)
    if not edits:
        return Error(
            Refused(
                detail=f"nothing differs from version {base.number}",
                remedy="no change is needed",
            )
        )
    fits = applied(base, edits)
    if fits.is_error():
        return Error(Refused(detail=fits.error, remedy="correct the bundle"))
    change = Change(
        change_id=secrets.token_hex(CHANGE_ID_BYTES),
        proposer=signer.name,
        base_version=base.number,
        comment=comment,
        proposed_at=wall_seconds(),
        restores=restores,
    )
    return await _write_proposal(store, change, edits, signer)


async def _write_proposal(
    store: Store, change: Change, edits: Sequence[Edit], signer: Signer
) -> Result[Proposal, Trouble]:
    lease = await store.grant_lease(PROPOSAL_LEASE_SECONDS, duty=DUTY)
    if lease.is_error():
        return Error(refused_by_store(lease.error.message))
    filled = await _with_edits(store, change, edits, lease.ok)
    if filled.is_error():
        return Error(refused_by_store(filled.error))
    change = filled.ok
    proposal = Proposal(change=change, proposed=signer.sign(encode(change)))
    key = proposal_key(change.change_id)
    written = await settled_write(store, key, 0, encode(proposal), lease=lease.ok)
    if written.is_error():
        return Error(refused_by_store(written.error.message))
    return Ok(proposal)


async def _with_edits(
    store: Store, change: Change, edits: Sequence[Edit], lease: int
) -> Result[Change, str]:
    if len(encode(edits)) <= MAX_INLINE_BYTES:
        return Ok(attrs.evolve(change, edits=tuple(edits)))
    digests = []
    for start in range(0, len(edits), EDIT_PART_EDITS):
        part = encode(edits[start : start + EDIT_PART_EDITS])
        written = await write_part(store, part, prefix=EDITS_PREFIX, lease=lease)
        if written.is_error():
            return Error(written.error)
        digests.append(written.ok[0])
    return Ok(attrs.evolve(change, edit_parts=tuple(digests)))


async def proposed_edits(
    store: Store, change_id: str
) -> Result[tuple[Change, tuple[Edit, ...], Content], Refused]:
    """Return a proposed change, its edits and the content at the head."""
    found = await read_proposal(store, change_id)
    if found.is_error():
        return Error(found.error)
    change = found.ok[0].change
    edits = await read_edits(store, change)
    if edits.is_error():
        return Error(refused_by_store(edits.error))
    base = await current_version(store)
    return base.map(lambda version: (change, edits.ok, version.content))


async def sign_off(
    store: Store,
    change_id: str,
    signer: Signer,
    *,
    shown: Change | None = None,
    bootstrap: Mapping[str, str] | None = None,
) -> Result[Proposal, Trouble]:
    """Sign off another operator's proposal.

    Parameters
    ----------
    shown : Change, optional
        The change as the operator saw it; any other is refused.
    bootstrap : mapping, optional
        Public keys of the operators who may sign the very first version.
    """
    found = await read_proposal(store, change_id)
    if found.is_error():
        return Error(found.error)
    proposal, entry = found.ok
    if shown is not None and shown != proposal.change:
        return Error(
            Refused(
                detail=f"change {change_id} is not the one that was shown",
                remedy="look at it again before you sign",
            )
        )
    base = await current_version(store)
    if base.is_error():
        return Error(base.error)
    problem = may_not_sign(base.ok, signer, bootstrap)
    if problem:
        return Error(problem)
    message = encode(proposal.change)
    if signer.name == proposal.change.proposer or (
        signer.public_key == proposal.proposed.public_key
    ):
        return Error(
            Refused(
                detail=f"{signer.name} proposed this change",
                remedy="another operator must sign it off",
            )
        )
    if not proposal.proposed.holds_for(message):
        return Error(
            Refused(
                detail="the proposer's signature does not hold",
                remedy="the proposal was altered: propose it again",
            )
        )
    if proposal.signed_off is not None:
        return Ok(proposal)
    signed = attrs.evolve(proposal, signed_off=signer.sign(message))
    written = await settled_write(
        store, entry.key, entry.revision, encode(signed), lease=entry.lease
    )
    if written.is_ok():
        return Ok(signed)
    if isinstance(written.error, Conflict) and written.error.current is not None:
        return Ok(decode(written.error.current.value, Proposal))
    return Error(refused_by_store(written.error.message))


async def history(
    store: Store, limit: int, *, down_to: int = 0
) -> Result[list[Record], Refused]:
    """Return the newest records, newest first."""
    stands = await read_head(store)
    if stands.is_error():
        return Error(refused_by_store(stands.error))
    head = stands.ok[0]
    if head is None:
        return Ok([])
    found = await read_records(store, head, down_to, limit)
    if found.is_error():
        return Error(refused_by_store(found.error))
    return Ok([decode(raw, Record) for raw in reversed(found.ok)])

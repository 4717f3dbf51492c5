"""Accept a change that is signed off: move the head to it, once."""

from collections.abc import Mapping

from expression import Error, Ok, Result

from currantdyke.bundle.change import (
    Change,
    Edit,
    Head,
    Proposal,
    Record,
    Signer,
    decode,
    encode,
    wall_seconds,
)
from currantdyke.bundle.stored import (
    HEAD_KEY,
    head_bytes,
    read_edits,
    read_head,
    read_proposal,
    read_records,
    read_version,
    record_prefix,
    settled_write,
    write_content,
    write_part,
)
from currantdyke.bundle.trouble import (
    LostRace,
    Refused,
    Trouble,
    may_not_sign,
    refused_by_store,
)
from currantdyke.bundle.versions import Version, applied, overlapping
from currantdyke.store import Conflict, Store, SwapError

__all__ = ["roll"]

MAX_WALK_VERSIONS = 20_000


async def roll(
    store: Store,
    change_id: str,
    signer: Signer,
    *,
    rebase: bool = False,
    bootstrap: Mapping[str, str] | None = None,
) -> Result[Head, Trouble]:
    """Accept a change that is signed off: move the head to it, once.

    Parameters
    ----------
    rebase : bool
        Go on where other changes came first and touch none of its items.
    bootstrap : mapping, optional
        Public keys of the operators who may sign the very first version.
    """
    found = await read_proposal(store, change_id)
    if found.is_error():
        return Error(found.error)
    proposal = found.ok[0]
    if proposal.signed_off is None:
        return Error(
            Refused(
                detail=f"change {change_id} is not signed off",
                remedy="ask another operator to run `config sign-off`",
            )
        )
    stands = await read_head(store)
    if stands.is_error():
        return Error(refused_by_store(stands.error))
    head, revision = stands.ok
    earlier = await _version_with(store, head, proposal.change)
    if earlier.is_error():
        return Error(earlier.error)
    if earlier.ok is not None:
        return Ok(earlier.ok)
    base = await (read_version(store, head) if head else _nothing())
    if base.is_error():
        return Error(refused_by_store(base.error))
    problem = may_not_sign(base.ok, signer, bootstrap)
    if problem:
        return Error(problem)
    edits = await read_edits(store, proposal.change)
    if edits.is_error():
        return Error(refused_by_store(edits.error))
    if head is not None and head.version != proposal.change.base_version:
        overlap = tuple(overlapping(base.ok.content, edits.ok))
        if overlap or not rebase:
            return Error(LostRace(winner=head, overlap=overlap))
    return await _move_head(
        store, base.ok, revision, proposal, edits.ok, signer, bootstrap
    )


async def _nothing() -> Result[Version, str]:
    return Ok(Version())


async def _version_with(
    store: Store, head: Head | None, change: Change
) -> Result[Head | None, Refused]:
    """Return the head of the version that a change has become, if any."""
    if head is None:
        return Ok(None)
    found = await read_records(store, head, change.base_version, MAX_WALK_VERSIONS)
    if found.is_error():
        return Error(refused_by_store(found.error))
    for raw in found.ok:
        record = decode(raw, Record)
        if record.change.change_id == change.change_id:
            return Ok(Head.of(record))
    return Ok(None)


async def _move_head(
    store: Store,
    base: Version,
    revision: int,
    proposal: Proposal,
    edits: tuple[Edit, ...],
    signer: Signer,
    bootstrap: Mapping[str, str] | None,
) -> Result[Head, Trouble]:
    made = applied(base, edits)
    if made.is_error():
        return Error(Refused(detail=made.error, remedy="propose it anew"))
    content, _ = made.ok
    parts = await write_content(store, content, base.content)
    if parts.is_error():
        return Error(refused_by_store(parts.error))
    assert proposal.signed_off is not None
    record = Record(
        version=base.number + 1,
        previous=base.record_hash,
        root=content.root,
        change=proposal.change,
        proposed=proposal.proposed,
        signed_off=proposal.signed_off,
        rolled_at=wall_seconds(),
        written=parts.ok,
    ).signed_by(signer)
    problem = record.signature_problem(base.operators if base.number else bootstrap)
    if problem:
        return Error(Refused(detail=problem, remedy="propose and sign it off anew"))
    prefix = record_prefix(record.version)
    written = await write_part(store, encode(record), prefix=prefix)
    if written.is_error():
        return Error(refused_by_store(written.error))
    moved = await settled_write(store, HEAD_KEY, revision, head_bytes(record))
    if moved.is_ok():
        return Ok(Head.of(record))
    return await _lost_or_superseded(store, moved.error, record, base, edits)


async def _lost_or_superseded(
    store: Store,
    error: SwapError,
    record: Record,
    base: Version,
    edits: tuple[Edit, ...],
) -> Result[Head, Trouble]:
    """Tell a lost race from a write that took effect and was followed by others."""
    if not isinstance(error, Conflict) or error.current is None:
        return Error(
            Refused(
                detail=error.message,
                remedy="whether it is in force is not known: run the command again, "
                "it is never applied twice",
            )
        )
    head = decode(error.current.value, Head)
    ours = await _version_with(store, head, record.change)
    if ours.is_error():
        return Error(ours.error)
    if ours.ok is not None:
        return Ok(ours.ok)
    winner = await read_version(store, head, base)
    if winner.is_error():
        return Error(refused_by_store(winner.error))
    overlap = tuple(overlapping(winner.ok.content, edits))
    return Error(LostRace(winner=head, overlap=overlap))

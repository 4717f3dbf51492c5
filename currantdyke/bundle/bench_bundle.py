"""Bundles and signed records for the benches of this slice."""

import attrs
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from currantdyke.bundle.change import Change, Record, Signer, edits_between, encode
from currantdyke.bundle.content import Content
from currantdyke.bundle.schema import (
    Bundle,
    EndpointSpec,
    Operator,
    Service,
    Workspace,
    hash_key,
)
from currantdyke.bundle.versions import Version, advance

__all__ = [
    "build_large_bundle",
    "build_signers",
    "build_small_chain",
    "next_record",
    "with_share",
]

SERVICES = 10
MAX_INLINE_EDITS = 4_000


def build_signers() -> tuple[Signer, ...]:
    """Return a proposer and another operator, the same ones each time."""
    return tuple(
        Signer(
            name=name, private_key=Ed25519PrivateKey.from_private_bytes(bytes([i]) * 32)
        )
        for i, name in enumerate(("adaeze", "bola"))
    )


def build_large_bundle(
    workspaces: int, endpoints: int, signers: tuple[Signer, ...]
) -> Bundle:
    """Return a bundle of a size."""
    services = {
        f"service-{s}": Service(
            kind="generate",
            endpoints=tuple(
                EndpointSpec(
                    name=f"runner-{s:02}-{i:04}",
                    url=f"http://10.{s}.{i // 250}.{i % 250}:8000",
                    availability_zone=f"zone-{i % 16}",
                )
                for i in range(endpoints // SERVICES)
            ),
        )
        for s in range(SERVICES)
    }
    found = {
        f"workspace-{i:05}": Workspace(key_hashes=(hash_key(str(i)),))
        for i in range(workspaces)
    }
    operators = {s.name: Operator(public_key=s.public_key) for s in signers}
    return Bundle(services=services, workspaces=found, operators=operators)


def with_share(bundle: Bundle, name: str, share: float) -> Bundle:
    """Return a bundle with another share for one workspace."""
    changed = attrs.evolve(bundle.workspaces[name], share=share)
    return attrs.evolve(bundle, workspaces={**bundle.workspaces, name: changed})


def next_record(version: Version, bundle: Bundle, signers: tuple[Signer, ...]) -> bytes:
    """Return the signed record that makes a bundle the next version."""
    proposer, signer = signers
    content = Content.of_bundle(bundle)
    edits = edits_between(version.content, content)
    few = len(edits) < MAX_INLINE_EDITS
    change = Change(
        change_id=f"{version.number + 1:016x}",
        proposer=proposer.name,
        base_version=version.number,
        proposed_at=0.0,
        edits=edits if few else (),
        edit_parts=() if few else ("kept elsewhere",),
    )
    record = Record(
        version=version.number + 1,
        previous=version.record_hash,
        root=content.root,
        change=change,
        proposed=proposer.sign(encode(change)),
        signed_off=signer.sign(encode(change)),
        rolled_at=0.0,
    )
    return encode(record.signed_by(signer))


def build_small_chain() -> list[bytes]:
    """Return the records of two versions: a small bundle, and one share changed."""
    signers = build_signers()
    bundle = build_large_bundle(20, SERVICES, signers)
    first = next_record(Version(), bundle, signers)
    held = advance(Version(), first).ok
    changed = with_share(bundle, "workspace-00007", 2.0)
    return [first, next_record(held, changed, signers)]

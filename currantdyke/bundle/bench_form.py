"""Bytes and processor time of one change at full size.

Run ``python -m currantdyke.bundle.bench_form``.
"""

import time
import tracemalloc

import click
from expression import Ok

from currantdyke.bundle import BundleInForce, ConfigurationFeed
from currantdyke.bundle.bench_bundle import (
    build_large_bundle,
    build_signers,
    next_record,
    with_share,
)
from currantdyke.bundle.content import Content, decode_part
from currantdyke.bundle.versions import Version, advance, verified_whole

__all__ = ["main"]

WORKSPACES = 17_000
ENDPOINTS = 4_200
CHANGES_A_DAY = 16_000
SECONDS_A_DAY = 86_400
ROUNDS = 30
MAX_BYTES = 65_536


def main() -> None:
    """Print the figures."""
    signers = build_signers()
    bundle = build_large_bundle(WORKSPACES, ENDPOINTS, signers)
    raw = next_record(Version(), bundle, signers)
    parts = [
        Content.of_bundle(bundle).part(n) for n in Content.of_bundle(bundle).hashes
    ]
    tracemalloc.start()
    first = _whole(raw, parts)
    feed = ConfigurationFeed(in_force=BundleInForce())
    feed.take_whole(Ok(first))
    held = tracemalloc.get_traced_memory()[0]
    click.echo(f"memory traced with one version in force: {held / 1e6:.1f} MB")
    tracemalloc.stop()
    started = time.process_time()
    _whole(raw, parts)
    click.echo(f"whole version verified and built: {_since(started):.2f} s")
    changed = with_share(bundle, "workspace-00007", 2.0)
    raw = next_record(first, changed, signers)
    second = advance(first, raw).ok
    _show_bytes(feed, first, second)
    started = time.process_time()
    for _ in range(ROUNDS):
        advance(first, raw)
    verify = _since(started) / ROUNDS
    started = time.process_time()
    for _ in range(ROUNDS):
        BundleInForce().accept(2, second.bundle)
    accept = _since(started) / ROUNDS
    share = (verify + accept) * CHANGES_A_DAY / SECONDS_A_DAY
    click.echo(
        f"verify and apply one change: {verify * 1e3:.2f} ms, accept "
        f"{accept * 1e3:.2f} ms; at {CHANGES_A_DAY} a day {share:.4%} of a core"
    )


def _show_bytes(feed: ConfigurationFeed, first: Version, second: Version) -> None:
    content = second.content
    parts = sum(len(content.part(name)) for name in content.hashes)
    rewritten = sum(
        len(content.part(name))
        for name, digest in content.hashes.items()
        if first.content.hashes.get(name) != digest
    )
    chunk = feed.update_since(0, MAX_BYTES, 0)
    assert feed.snapshot is not None
    snapshot = len(feed.snapshot.encoded)
    feed.take_records([second.raw])
    delta = len(feed.update_since(1, MAX_BYTES))
    click.echo(
        f"whole: {len(content.hashes)} parts, {parts} bytes; largest "
        f"{max(len(content.part(n)) for n in content.hashes)} bytes"
    )
    click.echo(f"snapshot for a peer: {snapshot} bytes, chunk {len(chunk)} bytes")
    click.echo(
        f"one workspace: delta to a peer {delta} bytes, record {len(second.raw)} "
        f"bytes, part rewritten {rewritten} bytes, manifest {len(content.manifest)}"
    )
    for name, size in (("whole", parts), ("part", rewritten), ("delta", delta)):
        rate = size * CHANGES_A_DAY / SECONDS_A_DAY
        click.echo(f"{name} per change: {rate:.0f} bytes/s at {CHANGES_A_DAY} a day")


def _whole(raw: bytes, parts: list[bytes]) -> Version:
    items = (item for part in parts for item in decode_part(part).items())
    return verified_whole(raw, Content.of_items(items)).ok


def _since(started: float) -> float:
    return time.process_time() - started


if __name__ == "__main__":
    main()

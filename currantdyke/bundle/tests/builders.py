"""Builders of operators, bundles, versions and stores for configuration tests."""

import contextlib

import anyio
import attrs
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from currantdyke.bundle import (
    BundleInForce,
    ConfigurationFeed,
    Follower,
    Operator,
    Workspace,
    hash_key,
)
from currantdyke.bundle.change import Change, Record, Signer, edits_between, encode
from currantdyke.bundle.content import Content
from currantdyke.bundle.lifecycle import propose, sign_off
from currantdyke.bundle.roll import roll
from currantdyke.bundle.versions import Version, advance
from currantdyke.standins import KeyValueStandIn
from currantdyke.store import EtcdStore
from currantdyke.testing import MemoryNetwork
from currantdyke.testing.builders import build_bundle

NAMES = ("adaeze", "bola", "ciara")
STORE_ADDRESS = "store:1"


def build_signer(name="adaeze", seed=None):
    number = NAMES.index(name) + 1 if seed is None else seed
    key = Ed25519PrivateKey.from_private_bytes(bytes([number]) * 32)
    return Signer(name=name, private_key=key)


def build_keys():
    return {name: build_signer(name).public_key for name in NAMES}


def build_operators():
    return {name: Operator(public_key=key) for name, key in build_keys().items()}


def build_signed_bundle(workspaces=3, endpoints=2, **changes):
    urls = {
        "encoder": [f"http://10.0.{i // 250}.{i % 250}:8000" for i in range(endpoints)]
    }
    found = {
        f"workspace-{i:05}": Workspace(key_hashes=(hash_key(f"key {i}"),))
        for i in range(workspaces)
    }
    values = {"workspaces": found, "operators": build_operators(), "pipelines": {}}
    return build_bundle(urls, **(values | changes))


def with_share(bundle, share, name="workspace-00000"):
    changed = attrs.evolve(bundle.workspaces[name], share=share)
    return attrs.evolve(bundle, workspaces={**bundle.workspaces, name: changed})


def build_record(version, bundle, proposer="adaeze", signer="bola", **changes):
    """Return the next version's record, signed, and the version itself."""
    content = Content.of_bundle(bundle)
    edits = edits_between(version.content, content)
    values = {
        "change_id": f"change-{version.number + 1}",
        "proposer": proposer,
        "base_version": version.number,
        "proposed_at": 0.0,
        "edits": edits,
    }
    change = Change(**(values | changes))
    record = Record(
        version=version.number + 1,
        previous=version.record_hash,
        root=content.root,
        change=change,
        proposed=build_signer(proposer).sign(encode(change)),
        signed_off=build_signer(signer).sign(encode(change)),
        rolled_at=0.0,
    )
    return encode(record.signed_by(build_signer(signer)))


def build_chain(count, **bundle):
    """Return versions 0 to ``count``, each a change of one workspace's share."""
    versions = [Version()]
    latest = build_signed_bundle(**bundle)
    for number in range(count):
        raw = build_record(versions[-1], with_share(latest, 1.0 + number))
        versions.append(advance(versions[-1], raw).ok)
    return versions


def build_feed(chain=()):
    feed = ConfigurationFeed(in_force=BundleInForce())
    feed.take_records([version.raw for version in chain if version.number])
    return feed


@attrs.define(kw_only=True, eq=False)
class Platform:
    """The store's stand-in, and ways to reach it."""

    network: MemoryNetwork
    key_value: KeyValueStandIn
    tasks: anyio.abc.TaskGroup

    def store(self):
        return EtcdStore(client=self.network.client(), url=f"http://{STORE_ADDRESS}")

    def follower(self, name="entry-1", chain=(), **arguments):
        return Follower(
            store=self.store(),
            feed=build_feed(chain),
            name=name,
            region="ng-west",
            **arguments,
        )


@contextlib.asynccontextmanager
async def platform():
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        key_value = KeyValueStandIn()
        network.attach(STORE_ADDRESS, key_value.app())
        yield Platform(network=network, key_value=key_value, tasks=tasks)
        tasks.cancel_scope.cancel()


async def signed_off_change(store, bundle, proposer="adaeze", signer="bola"):
    """Propose and sign off; return the change's id."""
    keys = build_keys()
    proposed = await propose(store, bundle, build_signer(proposer), bootstrap=keys)
    change_id = proposed.ok.change.change_id
    signed = await sign_off(store, change_id, build_signer(signer), bootstrap=keys)
    assert signed.is_ok(), signed.error.message
    return change_id


async def accept(store, bundle, proposer="adaeze", signer="bola"):
    """Bring a bundle to the head; return the head."""
    change_id = await signed_off_change(store, bundle, proposer, signer)
    rolled = await roll(
        store, change_id, build_signer(proposer), bootstrap=build_keys()
    )
    return rolled.ok

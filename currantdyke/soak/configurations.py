"""The configurations that the operators write, and what all recent ones allow."""

import random

import anyio
import attrs
import msgspec

from currantdyke.emulator import StoreEmulator
from currantdyke.soak.forms import Form
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    stream_route,
)

__all__ = ["FIRST_KEY", "Configurations", "grow_configuration"]

FIRST_KEY = "k1"
ROUTE_STAGES = [{"service": "rank", "after": [], "size_bytes": 1_000}]
# A version with this many routes has 370 KB of JSON, 490 KB as the store sends it.
MAX_GROWN_ROUTES = 1_800
MIN_GROWTH, MAX_GROWTH = 300, 1_500
MAX_FURTHER_VERSIONS = 4
MAX_FURTHER_ROUTES = 3
# Versions of one series follow each other faster than a slow link transfers them.
MAX_SERIES_INTERVAL_SECONDS = 1.2
MAX_PAUSE_SECONDS = 4.0
# The store sends values in base64.
STORE_BYTES_PER_BYTE = 4 / 3


@attrs.frozen(kw_only=True)
class Write:
    """A version that was written to the store.

    Attributes
    ----------
    at : float
        When the store acknowledged it.
    size : float
        Bytes of the value as the store sends it.
    is_required : bool
        Whether the version must come into force; if not, the one before may stay.
    """

    at: float
    version: int
    size: float
    is_required: bool = True


@attrs.define(kw_only=True, eq=False)
class Configurations:
    """Versions of the configuration in the store.

    Attributes
    ----------
    documents : dict of int to dict
        All versions, in their plain form.
    forms : dict of int to Form
        How versions are written whose form is another.
    grown_prefixes, keys : list of str
        Path prefixes of the added routes, and keys; all later versions contain them.
    replaced_keys : list of str
        Keys that no later version contains.
    last_key : int
        Number of the last key.
    version : int
        The latest version.
    writes : list of Write
        All writes to the store, in order.
    allowed_since : dict of str to float
        Since when every write has contained a path prefix or a key.
    route_fields, limits : dict
        Fields of all routes, and limits on callers, of the next versions.
    has_stages : bool
        Whether streams have a stage in the next versions.
    plain_service : str
        Service of the first route in the next versions.
    cold_rate : float
        Requests per second that cold endpoints tolerate; 0 for any.
    lock : Lock
        Held during a series of writes.
    """

    store: StoreEmulator
    documents: dict[int, dict] = attrs.field(factory=dict)
    forms: dict[int, Form] = attrs.field(factory=dict)
    grown_prefixes: list[str] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=lambda: [FIRST_KEY])
    replaced_keys: list[str] = attrs.field(factory=list)
    last_key: int = 1
    version: int = 0
    writes: list[Write] = attrs.field(factory=list)
    allowed_since: dict[str, float] = attrs.field(factory=dict)
    route_fields: dict = attrs.field(factory=dict)
    limits: dict = attrs.field(factory=dict)
    has_stages: bool = True
    plain_service: str = "plain"
    cold_rate: float = 0.0
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    def publish(self, *, routes: int = 1, form: Form | None = None) -> None:
        """Write the next version.

        Parameters
        ----------
        routes : int
            One more than the number of its routes that later versions need not contain.
        form : Form, optional
            How it is written.
        """
        self.version += 1
        self.documents[self.version] = self._next_document(routes)
        if form is not None:
            self.forms[self.version] = form
            self.documents[self.version] |= form.allowed
        self.write(self.version)

    def grow(self, count: int, *, form: Form | None = None) -> None:
        """Write a version with a number of additional routes and one more key."""
        first = len(self.grown_prefixes)
        self.grown_prefixes += [f"/grown/{first + n}/" for n in range(count)]
        self._add_key()
        self.publish(form=form)

    def replace_key(self) -> None:
        """Let the next versions contain a new key in place of an earlier one."""
        if len(self.keys) > 1:
            self.replaced_keys.append(self.keys.pop(1))
        self._add_key()

    def _add_key(self) -> None:
        self.last_key += 1
        self.keys.append(f"k{self.last_key}")

    def possible_documents(self, since: float) -> list[dict]:
        """Return the documents that may have been in force since a time.

        Those are the last one that was written before it and had to come into force,
        and all later ones.
        """
        last = max(
            n
            for n, write in enumerate(self.writes)
            if not n or (write.at <= since and write.is_required)
        )
        return [self.documents[write.version] for write in self.writes[last:]]

    def write(self, version: int) -> None:
        """Write a version, the next one or one that was written before."""
        document, form = self.documents[version], self.forms.get(version)
        written = document if form is None else form.write(document)
        value = written if isinstance(written, bytes) else msgspec.json.encode(written)
        self.store.configure(value)
        now = anyio.current_time()
        present = [route["prefix"] for route in document["route_list"]]
        for tenant in document["tenants"]:
            present += tenant["api_keys"]
        since = self.allowed_since
        self.allowed_since = {name: since.get(name, now) for name in present}
        self.writes.append(
            Write(
                at=now,
                version=version,
                size=len(value) * STORE_BYTES_PER_BYTE,
                is_required=form is None or form.is_required,
            )
        )

    def both_allowed_since(self, prefix: str, key: str) -> float:
        """Return since when all writes have contained both; infinite if one lacks."""
        never = float("inf")
        return max(
            self.allowed_since.get(prefix, never), self.allowed_since.get(key, never)
        )

    def required_version(self, delay: float, bytes_per_second: float) -> int:
        """Return the lowest version that an undisrupted gateway may have.

        It has read the store within the last ``delay`` seconds, as it was when a link
        that transfers all writes in order had transferred them; 0 if nothing had been
        written by then.
        """
        oldest_read = anyio.current_time() - delay
        busy_until = float("-inf")
        lowest = 0
        for write in self.writes:
            busy_until = max(busy_until, write.at) + write.size / bytes_per_second
            if not write.is_required:
                continue
            if busy_until < oldest_read:
                lowest = write.version
            else:
                lowest = min(lowest, write.version)
        return lowest

    def _next_document(self, routes: int) -> dict:
        once = plain_route(
            name="r-once", prefix="/once/", type="non_idempotent", max_attempts=3
        )
        temporary = [
            plain_route(name=f"r-{n}", prefix=f"/more/{n}/") for n in range(routes - 1)
        ]
        grown = [
            plain_route(name=f"r-grown-{n}", prefix=prefix)
            for n, prefix in enumerate(self.grown_prefixes)
        ]
        stream = stream_route(stages=ROUTE_STAGES if self.has_stages else [])
        plain = plain_route(service=self.plain_service)
        all_routes = [plain, once, stream]
        all_routes += temporary + grown
        document = configuration(
            self.version,
            [route | self.route_fields for route in all_routes],
            tenants=[{"name": "cider", "api_keys": list(self.keys), "priority": 1}],
        )
        for service in document["services"]:
            service["cold_per_s"] = self.cold_rate
        document["limits"] |= self.limits
        return document


async def grow_configuration(world, rng: random.Random) -> None:
    """Add routes in one version, then some in further ones, until the run ends."""
    configurations = world.configurations
    while not world.finished:
        async with configurations.lock:
            room = MAX_GROWN_ROUTES - len(configurations.grown_prefixes)
            growth = min(room, rng.randint(MIN_GROWTH, MAX_GROWTH))
            configurations.grow(max(growth, MAX_FURTHER_ROUTES))
            world.checker.counts["large versions"] += 1
            for _ in range(rng.randint(1, MAX_FURTHER_VERSIONS)):
                await anyio.sleep(rng.uniform(0.0, MAX_SERIES_INTERVAL_SECONDS))
                configurations.grow(rng.randint(1, MAX_FURTHER_ROUTES))
                world.checker.counts["large versions"] += 1
        await anyio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))

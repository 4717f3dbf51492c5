"""Forms in which operators write a version: odd, unusable, or without any key."""

import copy
import random
from collections.abc import Callable, Iterator

import attrs
import msgspec

__all__ = ["EMPTY", "ODD", "UNUSABLE", "Form", "draw_odd_forms"]

MAX_ODD_CHANGES = 3


@attrs.frozen(kw_only=True)
class Form:
    """How a version is written.

    Attributes
    ----------
    write : callable
        Returns what is written in place of a document.
    is_required : bool
        Whether the version must come into force; if not, the one before may stay.
    allowed : dict
        Fields of the document that differ in what the version allows.
    """

    name: str
    write: Callable[[dict], object]
    is_required: bool = False
    allowed: dict = attrs.field(factory=dict)


def draw_odd_forms(rng: random.Random) -> Iterator[Form]:
    """Return forms with some odd changes each, all of which come in turn."""
    while True:
        names = rng.sample(sorted(ODD), len(ODD))
        while names:
            count = rng.randint(1, MAX_ODD_CHANGES)
            yield odd_form(names[:count])
            del names[:count]


def odd_form(names: list[str]) -> Form:
    """Return a form with odd changes, all else of which must come into force."""

    def write(document: dict) -> dict:
        written = copy.deepcopy(document)
        for name in names:
            ODD[name](written)
        return written

    return Form(name=", ".join(names), write=write, is_required=True)


def _add_route(name: str, **changes: object) -> Callable[[dict], None]:
    """Return a change that adds a route, without the fields that become None."""

    def add(document: dict) -> None:
        prefix = f"/odd/{name}/"
        route = document["route_list"][-1] | {"name": name, "prefix": prefix} | changes
        route = {field: value for field, value in route.items() if value is not None}
        # The newest route stays the last one.
        document["route_list"].insert(0, route)

    return add


def _set_in_newest(**changes: object) -> Callable[[dict], None]:
    return lambda document: document["route_list"][-1].update(changes)


def _repeat_last(key: str) -> Callable[[dict], None]:
    return lambda document: document[key].append(copy.deepcopy(document[key][-1]))


def _add_workspace(document: dict, keys: list[str] | None) -> None:
    document["tenants"].append({"name": "perry", "api_keys": keys, "priority": 2})


def _write_fractions(document: dict) -> None:
    """Write whole numbers as 4.0."""
    services = document["services"]
    entries = [document["route_list"][-1], document["limits"], *services]
    for service in services:
        entries += [service.get("segments"), service.get("engine")]
    # Other changes leave some of them out.
    for entry in filter(None, entries):
        entry.update({k: float(v) for k, v in entry.items() if type(v) is int})


# Changes after which all else of a document has its meaning.
ODD: dict[str, Callable[[dict], None]] = {
    "route twice": _repeat_last("route_list"),
    "service twice": _repeat_last("services"),
    "workspace twice": _repeat_last("tenants"),
    "key of two workspaces": lambda document: _add_workspace(
        document, document["tenants"][0]["api_keys"][-1:]
    ),
    "workspace without keys": lambda document: _add_workspace(document, None),
    "unknown service": _add_route("unknown", service="unknown"),
    "weights of 0": _add_route(
        "weights", service=None, traffic_split=[{"service": "plain", "weight": 0}]
    ),
    "no host": _add_route("host", host=None),
    "prefix without its last slash": _add_route("slash", prefix="/odd/slash"),
    "prefix without slashes": _add_route("slashes", prefix="odd"),
    "stage before its input": _add_route(
        "stages",
        stages=[
            {"service": "rank", "after": [1], "size_bytes": 1},
            {"service": "rank", "after": [], "size_bytes": 1},
        ],
    ),
    "route that is no object": lambda document: document["route_list"].insert(0, "r"),
    "no attempts": _set_in_newest(max_attempts=0),
    "negative priority": _set_in_newest(priority=-1),
    "priority 1.0": _set_in_newest(priority=1.0),
    "public 0": _set_in_newest(public=0),
    "fractions": _write_fractions,
    "version as text": lambda document: document.update(
        version=str(document["version"])
    ),
    "version as a fraction": lambda document: document.update(
        version=float(document["version"])
    ),
    "no limits": lambda document: document.update(limits=None),
    "negative memory": lambda document: document["services"].append(
        {"name": "spare", "segments": {"slots": 1, "headroom_mb": -1}}
    ),
    "unknown fields": lambda document: document.update(comment={"by": "operator"}),
}


def _write_half(document: dict) -> bytes:
    data = msgspec.json.encode(document)
    return data[: len(data) // 2]


def _without(key: str) -> Callable[[dict], dict]:
    return lambda document: {k: v for k, v in document.items() if k != key}


# None of these can be put in force. A gateway that knows of one must not refuse finally
# what the next versions allow.
UNUSABLE = (
    Form(name="cut short", write=_write_half),
    Form(name="no object", write=lambda document: [document]),
    Form(name="no version", write=_without("version")),
    Form(
        name="version that is no number",
        write=lambda document: document | {"version": "x"},
    ),
    Form(name="no routes", write=_without("route_list")),
    Form(
        name="routes that are no list",
        write=lambda document: document | {"route_list": {}},
    ),
)


def _empty(name: str, *, written: dict, allowed: dict) -> Form:
    return Form(name=name, write=lambda document: document | written, allowed=allowed)


# These allow nothing; whether the version before stays in force is left open.
EMPTY = (
    _empty("no workspaces", written={"tenants": []}, allowed={"tenants": []}),
    _empty("null workspaces", written={"tenants": None}, allowed={"tenants": []}),
    _empty(
        "keys that are no list",
        written={"tenants": [{"name": "cider", "api_keys": "k1"}]},
        allowed={"tenants": []},
    ),
    _empty("empty routes", written={"route_list": []}, allowed={"route_list": []}),
)

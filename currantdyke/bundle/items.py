"""A bundle as small items: one path and one JSON text each.

A change to one workspace or one endpoint is an edit of one item.
"""

import functools
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import cattrs
import msgspec

from currantdyke.bundle.schema import (
    Bundle,
    EndpointSpec,
    Operator,
    Pipeline,
    Policy,
    Service,
    Workspace,
)
from currantdyke.documents.check import strict_converter

__all__ = ["bundle_items", "edited_bundle", "empty_bundle"]

POLICY_PATH = "policy/"
KINDS: dict[str, type] = {
    "services": Service,
    "endpoints": EndpointSpec,
    "pipelines": Pipeline,
    "workspaces": Workspace,
    "policy": Policy,
    "operators": Operator,
}
NAMED_SECTIONS = ("pipelines", "workspaces", "operators")


@functools.cache
def _converter() -> cattrs.Converter:
    return strict_converter()


def _text(value: Any) -> bytes:
    plain = cattrs.unstructure(value)
    return msgspec.json.encode(plain, order="sorted")


def bundle_items(bundle: Bundle) -> Iterator[tuple[str, bytes]]:
    """Yield the path and the JSON text of every item.

    Examples
    --------
    >>> bundle = Bundle(services={}, workspaces={"jos": Workspace()})
    >>> [path for path, _ in bundle_items(bundle)]
    ['workspaces/jos', 'policy/']
    """
    for name, service in bundle.services.items():
        yield f"services/{name}", _text(attrs.evolve(service, endpoints=()))
        for endpoint in service.endpoints:
            yield f"endpoints/{name}/{endpoint.name}", _text(endpoint)
    for section in NAMED_SECTIONS:
        for name, value in getattr(bundle, section).items():
            yield f"{section}/{name}", _text(value)
    yield POLICY_PATH, _text(bundle.policy)


def empty_bundle() -> Bundle:
    """Return the bundle that the first version is an edit of."""
    return Bundle(services={})


def edited_bundle(bundle: Bundle, edits: Mapping[str, bytes | None]) -> Bundle:
    """Return a bundle with items replaced, added or (None) removed.

    Raises
    ------
    ValueError
        An item is of no known kind or does not fit its kind.
    """
    sections: dict[str, dict[str, Any]] = {name: {} for name in KINDS}
    for path, text in edits.items():
        section, _, name = path.partition("/")
        if section not in KINDS:
            raise ValueError(f"{path!r} is in no known section")
        sections[section][name] = None if text is None else _item(section, path, text)
    changes: dict[str, Any] = {
        section: _merged(getattr(bundle, section), sections[section])
        for section in NAMED_SECTIONS
        if sections[section]
    }
    if sections["services"] or sections["endpoints"]:
        changes["services"] = _services(bundle, sections)
    if sections["policy"]:
        changes["policy"] = sections["policy"][""] or Policy()
    return attrs.evolve(bundle, **changes)


def _item(section: str, path: str, text: bytes) -> Any:
    try:
        return _converter().structure(msgspec.json.decode(text), KINDS[section])
    except (msgspec.DecodeError, cattrs.BaseValidationError, TypeError) as error:
        raise ValueError(f"{path!r} is not valid: {error}") from error


def _merged(old: Mapping[str, Any], changes: Mapping[str, Any]) -> dict[str, Any]:
    merged = {**old, **changes}
    for name, value in changes.items():
        if value is None:
            del merged[name]
    return merged


def _services(bundle: Bundle, sections: dict[str, dict[str, Any]]):
    merged = _merged(bundle.services, sections["services"])
    by_service: dict[str, dict[str, EndpointSpec | None]] = {
        name: {} for name in sections["services"] if name in merged
    }
    for path, endpoint in sections["endpoints"].items():
        service, _, name = path.rpartition("/")
        by_service.setdefault(service, {})[name] = endpoint
    for name, changes in by_service.items():
        if name not in merged:
            if any(changes.values()):
                raise ValueError(f"endpoints of the unknown service {name!r}")
            continue
        merged[name] = _with_endpoints(bundle, name, merged[name], changes)
    return merged


def _with_endpoints(bundle: Bundle, name: str, service: Service, changes) -> Service:
    earlier = bundle.services[name].endpoints if name in bundle.services else ()
    found = _merged({endpoint.name: endpoint for endpoint in earlier}, changes)
    return attrs.evolve(service, endpoints=tuple(found[key] for key in sorted(found)))

"""Configurations of which one field or entry is changed."""

import copy

import msgspec

from currantdyke.platform.configuration import decode_catalog
from currantdyke.testing.gateways import configuration, plain_route, stream_route

__all__ = [
    "ABSENT",
    "build_document",
    "change_document",
    "decode_document",
]

# In place of a value: the field is missing.
ABSENT = object()
STAGES = [
    {"service": "rank", "after": [], "size_bytes": 1_000},
    {"service": "rank", "after": [0], "size_bytes": 1_000},
]


def build_document():
    """Return a document of two routes, one with stages, and of two workspaces."""
    tenants = [
        {"name": "cider", "api_keys": ["k1"], "priority": 1},
        {"name": "perry", "api_keys": ["k2"]},
    ]
    routes = [plain_route(), stream_route(stages=STAGES)]
    return configuration(2, routes, tenants=tenants)


def change_document(path, value):
    """Return a document with another value of one field, or one more entry of a list.

    Parameters
    ----------
    path : tuple
        Names and indices down to the field; a last index of -1 appends to the list.
    """
    document = copy.deepcopy(build_document())
    entry = document
    for name in path[:-1]:
        entry = entry[name]
    if path[-1] == -1:
        entry.append(value)
    elif value is ABSENT:
        del entry[path[-1]]
    else:
        entry[path[-1]] = value
    return document


def decode_document(document):
    """Return the result of decoding a document."""
    return decode_catalog(msgspec.json.encode(document))

"""The operators' versioned configuration."""

from currantdyke.bundle.feed import ConfigurationFeed
from currantdyke.bundle.follow import Follower
from currantdyke.bundle.in_force import BundleInForce
from currantdyke.bundle.schema import (
    Bundle,
    EndpointSpec,
    Operator,
    Pipeline,
    Policy,
    Service,
    Stage,
    StageKind,
    Workspace,
    check_bundle,
    hash_key,
)

__all__ = [
    "Bundle",
    "BundleInForce",
    "ConfigurationFeed",
    "EndpointSpec",
    "Follower",
    "Operator",
    "Pipeline",
    "Policy",
    "Service",
    "Stage",
    "StageKind",
    "Workspace",
    "check_bundle",
    "hash_key",
]

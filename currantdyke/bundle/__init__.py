"""The operators' versioned configuration."""

from currantdyke.bundle.file import BundleFile
from currantdyke.bundle.in_force import BundleInForce
from currantdyke.bundle.schema import (
    Bundle,
    EndpointSpec,
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
    "BundleFile",
    "BundleInForce",
    "EndpointSpec",
    "Pipeline",
    "Policy",
    "Service",
    "Stage",
    "StageKind",
    "Workspace",
    "check_bundle",
    "hash_key",
]

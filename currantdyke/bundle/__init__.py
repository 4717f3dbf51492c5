"""The operators' versioned configuration."""

from currantdyke.bundle.active import ActiveBundle
from currantdyke.bundle.file import BundleFile
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
    "ActiveBundle",
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

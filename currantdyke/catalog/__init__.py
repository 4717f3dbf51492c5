"""Typed records of the operator configuration and of announced endpoints."""

from currantdyke.catalog.check import find_problem, order_stages
from currantdyke.catalog.table import RouteTable
from currantdyke.catalog.types import (
    CallerLimits,
    Catalog,
    CatalogPart,
    Endpoint,
    EngineLimits,
    Repeatability,
    Route,
    Service,
    StageLimits,
    StageStep,
    Workspace,
    max_event_gap,
)

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogPart",
    "Endpoint",
    "EngineLimits",
    "Repeatability",
    "Route",
    "RouteTable",
    "Service",
    "StageLimits",
    "StageStep",
    "Workspace",
    "find_problem",
    "max_event_gap",
    "order_stages",
]

"""Stub endpoints for demos and tests."""

from currantdyke.standins.stages import StubEndpoint, stub_endpoint_app

__all__ = ["StubEndpoint", "stub_endpoint_app"]

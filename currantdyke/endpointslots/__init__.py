"""Keeps the fleet's requests to brittle endpoints within their slots."""

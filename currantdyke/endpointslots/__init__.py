"""Keeps the fleet's requests to fragile endpoints within their slots."""

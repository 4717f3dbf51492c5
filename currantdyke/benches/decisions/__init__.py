"""Decisions under load, measured in virtual time against baselines."""

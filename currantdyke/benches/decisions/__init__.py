"""Benchmark of scheduling decisions under load, in virtual time, with baselines."""

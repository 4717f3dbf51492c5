"""Benchmarks that are run manually and are not part of the test suite."""

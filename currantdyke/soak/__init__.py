"""Randomized soak test of gateway processes under external faults."""

"""Which software version began each stream, known to the whole fleet."""

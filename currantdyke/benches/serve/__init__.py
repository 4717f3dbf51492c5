"""What one daemon carries on one core, and what it adds to the time."""

"""What a daemon needs at the plan's size, from slopes measured here."""

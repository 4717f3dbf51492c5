"""What endpoints say of themselves in their answers."""

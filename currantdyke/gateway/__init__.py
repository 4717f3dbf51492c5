"""Gateway daemon that forwards requests to the platform's endpoints."""

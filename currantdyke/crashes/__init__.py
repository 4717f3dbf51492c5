"""Requests and parts of prompts that crash endpoints."""

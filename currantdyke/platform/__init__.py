"""Translate between the platform's names, formats and calls and the project's types.

Most functions decode or encode one thing; decoded values contain none of the platform's
names. `store` also calls the key-value store, and `deploy` checks the deploy file. None
of them decides what to do.
"""

"""Translate between the platform's names, formats and calls and the project's types.

The modules make no decisions: each function decodes or encodes one thing, and decoded
values contain none of the platform's names.
"""

"""Calls from their entry node to their target, and what may be repeated."""

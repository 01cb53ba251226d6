"""Duties that one node at a time performs; the first is the usage report."""

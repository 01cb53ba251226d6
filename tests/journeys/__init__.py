"""Journeys of operators and callers through real processes."""

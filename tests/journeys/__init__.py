"""End-to-end tests of operators and callers with real processes."""

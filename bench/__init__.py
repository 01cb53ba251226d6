"""Benchmarks of the decisions and of real nodes, run by `make bench`."""

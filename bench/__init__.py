"""Measurements, run by `make bench`."""

"""Tests of the benchmark package."""

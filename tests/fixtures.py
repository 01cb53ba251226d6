"""Fixtures that the tests of several modules share."""

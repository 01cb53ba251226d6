"""Tests of the decisions about memory."""

"""Tests of `daisyline.coordination.departures`."""

"""Tests of `daisyline.coordination.routing.routing`."""

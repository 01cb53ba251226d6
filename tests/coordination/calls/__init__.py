"""Tests of `daisyline.coordination.calls`."""

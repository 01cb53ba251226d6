"""Tests of `daisyline.coordination.settings`."""

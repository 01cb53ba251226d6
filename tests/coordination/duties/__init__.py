"""Tests of `daisyline.coordination.duties`."""

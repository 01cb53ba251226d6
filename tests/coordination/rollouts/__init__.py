"""Tests of `daisyline.coordination.rollouts`."""

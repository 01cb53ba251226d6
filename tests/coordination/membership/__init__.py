"""Tests of `daisyline.coordination.membership.membership`."""

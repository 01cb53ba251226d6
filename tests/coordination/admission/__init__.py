"""Tests of `daisyline.coordination.admission.admission`."""

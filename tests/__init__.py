"""Tests of daisyline; hypothesis fails them by their assertions only."""

from hypothesis import HealthCheck, settings

# Time limits of hypothesis would let the speed of the machine decide whether a
# test passes.
settings.register_profile(
    'no-time-limits',
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('no-time-limits')

"""Weights of a zone that comes back and of a target just announced."""

MS_PER_S = 1000
#: The part of its weight that a returning zone or target starts with.
FIRST_PART = 0.05


def ramp_fraction(since_s: float, ramp_ms: int) -> float:
    """Return the part of its weight that a zone or target gets.

    It grows in a straight line and never falls as time goes on.

    Args:
        since_s: Seconds since the zone came back or the target was met.
        ramp_ms: How long the ramp lasts, in milliseconds.
    """
    if ramp_ms <= 0:
        return 1
    part = max(0, since_s) * MS_PER_S / ramp_ms
    return min(1, FIRST_PART + (1 - FIRST_PART) * part)

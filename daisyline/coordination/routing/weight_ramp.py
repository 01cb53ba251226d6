"""The weight of a returning zone and of a newly announced target."""

MS_PER_S = 1000
#: The fraction of its weight that a returning zone or new target starts with.
INITIAL_FRACTION = 0.05


def ramp_fraction(elapsed_s: float, ramp_ms: int) -> float:
    """Return the fraction of its weight that a zone or target gets.

    It grows linearly from `INITIAL_FRACTION` to 1 and never decreases.

    Args:
        elapsed_s: Seconds since the zone returned or the target was first seen.
        ramp_ms: How long the ramp lasts, in milliseconds; 0 if there is none,
            so that the full weight applies at once.
    """
    if ramp_ms <= 0:
        return 1
    progress = max(0, elapsed_s) * MS_PER_S / ramp_ms
    return min(1, INITIAL_FRACTION + (1 - INITIAL_FRACTION) * progress)

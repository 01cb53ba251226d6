"""Random times and tokens, so that nodes don't act in step."""

import random

_MIN_FACTOR = 0.5
_MAX_FACTOR = 1.5
_NONCE_BITS = 32


def jittered(rng: random.Random, seconds: float) -> float:
    """Return a time between half and one and a half of the one given."""
    return seconds * rng.uniform(_MIN_FACTOR, _MAX_FACTOR)


def new_nonce(rng: random.Random) -> int:
    """Return a number that no other open exchange is likely to have."""
    return rng.getrandbits(_NONCE_BITS)

"""Random intervals that keep nodes from acting in step, and nonces."""

import random

_MIN_FACTOR = 0.5
_MAX_FACTOR = 1.5
_NONCE_BITS = 32


def jittered(rng: random.Random, seconds: float) -> float:
    """Return a random time between 0.5 and 1.5 times the given one."""
    return seconds * rng.uniform(_MIN_FACTOR, _MAX_FACTOR)


def new_nonce(rng: random.Random) -> int:
    """Return a random number to match an answer to its request."""
    return rng.getrandbits(_NONCE_BITS)

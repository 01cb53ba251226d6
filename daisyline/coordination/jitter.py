"""Random times and tokens, so that nodes don't act in step."""

import random

_LEAST = 0.5
_MOST = 1.5
_TOKEN_BITS = 32


def jittered(rng: random.Random, seconds: float) -> float:
    """Return a time between half and one and a half of the one given."""
    return seconds * rng.uniform(_LEAST, _MOST)


def new_nonce(rng: random.Random) -> int:
    """Return a number that no other open exchange is likely to have."""
    return rng.getrandbits(_TOKEN_BITS)

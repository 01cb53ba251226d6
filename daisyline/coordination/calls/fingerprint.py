"""Fingerprints, by which a request is known when it is sent again."""

import hashlib

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def fingerprint(method: bytes, path: bytes, body: bytes) -> str:
    """Return a digest that is the same each time a request is sent.

    The length of each part is hashed as well, so that moving bytes from one
    part to the next changes the digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()

"""How a process collects garbage and serves large blocks of memory."""

import ctypes
import gc

# Collecting the oldest generation takes milliseconds, so it is made rare.
_GC_THRESHOLDS = (20_000, 50, 100)

# A parameter of glibc's `mallopt`, the same on all machines.
_M_MMAP_THRESHOLD = -3
# The bound that glibc starts with.
LARGE_BLOCK_BYTES = 131_072


def map_large_blocks() -> bool:
    """Give each large block pages of its own, which are returned once freed.

    By default glibc raises the bound with each such block that is freed, up to
    32 MiB, and serves what is below from the heap. Bodies that grow there side
    by side leave holes that are too small for the next ones.

    Source: mallopt(3), section M_MMAP_THRESHOLD.

    Returns:
        Whether the C library has the setting; others keep their own bound.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return mallopt is not None and bool(
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    )


def collect_rarely() -> None:
    """Collect garbage rarely, and never what exists at the start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()

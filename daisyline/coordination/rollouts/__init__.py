"""Which version of a service gets which share, and the verdict on it."""

"""Which calls a target gets at what time, and which are queued or refused."""

"""Translates between the users' platform and daisyline; it decides nothing."""

"""Translates between the users' platform and daisyline; makes no decisions."""

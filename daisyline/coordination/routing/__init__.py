"""The choice of the target that a call is sent to."""

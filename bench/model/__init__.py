"""A discrete-event model of entries and targets, for measuring policies."""

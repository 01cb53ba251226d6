"""A discrete-event model of entry nodes and targets for comparing policies."""

"""Decisions: messages, state and a time go in, effects come out."""

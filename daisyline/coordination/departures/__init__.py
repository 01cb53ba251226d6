"""Keeps targets that have announced that they leave out of use."""

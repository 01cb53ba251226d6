"""Sockets, clocks and the one loop that drives them."""

"""Entry points: the node and the operators' command."""

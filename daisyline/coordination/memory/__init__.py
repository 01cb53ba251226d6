"""What a node holds in memory for others, and what is refused at the limit."""

"""Which nodes there are, and how they tell each other what they know."""

"""Settings and orders: read from the platform, spread and changed."""

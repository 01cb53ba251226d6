"""Plain data types that the coordination layer reads and updates."""

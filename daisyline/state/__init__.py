"""Plain data that decisions read and change."""

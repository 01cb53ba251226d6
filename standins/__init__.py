"""Small stand-ins for the systems that daisyline meets."""

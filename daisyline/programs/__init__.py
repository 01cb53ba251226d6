"""The programs, thin over the package."""

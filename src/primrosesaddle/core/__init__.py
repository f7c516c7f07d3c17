"""Basic building blocks used by all other packages."""

"""The platform's names, formats and calls; it takes no decisions."""

"""Rules that keep calls from servers."""

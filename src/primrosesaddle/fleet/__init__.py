"""The published records and servers that a process knows, and how they spread."""

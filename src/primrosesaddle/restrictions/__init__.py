"""Rules that keep calls from servers: homes, evacuations, cold starts."""

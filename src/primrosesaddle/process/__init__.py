"""Entry and agent processes: the services of each role, and their start and stop."""

"""A demonstration fleet of processes on the loopback interface."""

"""What a process knows of the fleet: the published records and its servers."""

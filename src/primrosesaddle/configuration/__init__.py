"""The catalogue, and its replication to every process."""

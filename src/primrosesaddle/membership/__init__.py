"""Links between processes, their messages, and the table of known peers."""

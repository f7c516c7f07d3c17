"""Links between processes, their messages, and who is there."""

"""Handling of callers' requests: routes, admission, placement, forwarding, retries."""

"""Calls of callers: routes, admission, placement, forwarding and retries."""

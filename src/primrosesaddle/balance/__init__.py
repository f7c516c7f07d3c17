"""Decisions about load: what servers bear now, and which of them takes a call."""

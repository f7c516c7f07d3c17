"""Plumbing that every other package builds on."""

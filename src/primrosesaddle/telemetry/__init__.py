"""Logs, metrics, traces and audit records, and their readers."""

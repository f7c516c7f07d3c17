"""Logs, metrics, traces, audit records, and what reads them."""

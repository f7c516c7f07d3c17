"""Versions spread from agent to agent, and their switch."""

"""The product's own interface: calls through entry and agent."""

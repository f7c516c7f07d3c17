"""The catalogue, and how a revision comes into force."""

"""Distribution of model weights between agents, and switching engines to them."""

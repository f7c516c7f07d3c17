"""Distribution of weights from the origin to the engines."""

"""Stand-ins for the services of the platform, for engines and for a plain service."""

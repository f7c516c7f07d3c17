"""HTTP connections to servers: opening, reuse, requests and limits."""

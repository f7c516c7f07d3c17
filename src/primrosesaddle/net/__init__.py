"""HTTP connections to servers, kept and watched."""

"""Handling of routed requests, from admission to the response."""

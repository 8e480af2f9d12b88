"""The story of a routed request, from admission to its answer."""

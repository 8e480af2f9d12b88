"""Load generation, benchmarks and experiments."""

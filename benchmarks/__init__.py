"""Benchmarks: they start processes, take time, and are no tests."""

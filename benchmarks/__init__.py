"""Benchmarks: they start processes, take minutes, and are not tests."""

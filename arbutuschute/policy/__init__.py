"""Decisions: pure functions of what they are given, without I/O."""

"""Experiments on routing decisions, on a virtual clock."""

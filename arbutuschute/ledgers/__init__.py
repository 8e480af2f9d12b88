"""Ledgers: claims, bills and session pins."""

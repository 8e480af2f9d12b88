"""Command-line interface: arguments, help and output."""

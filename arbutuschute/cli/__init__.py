"""The commands: arguments, help and what a person reads."""

"""Documents and changes that operators publish, and their history."""

"""Claims, bills, leases and session pins, and how bills are replicated."""

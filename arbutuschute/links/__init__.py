"""Links: the sockets towards callers, engines, log and peers."""

"""Links: connections to callers, operators, servers, the log and peers."""

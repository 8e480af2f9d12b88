"""Roll-out guard: fleet-wide evidence about a version under roll-out."""


class Guard:
    """Counts evidence, merges that of peers, and halts bad versions."""

    __slots__ = ('_identity',)

    def __init__(self, identity):
        self._identity = identity

    def make_evidence(self):
        """Return the own counters for the next heartbeat."""
        return ()

    def hear(self, heartbeat):
        """Merge a peer's counters."""

    def decide(self, now):
        """Halt or advance roll-outs on the evidence so far."""

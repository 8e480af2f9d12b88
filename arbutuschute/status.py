"""Exit codes of all commands."""

import enum


class ExitStatus(enum.IntEnum):
    """Program exit status codes."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BROKEN_INPUT = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    UNREACHABLE = 7

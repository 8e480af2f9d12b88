"""How far the response to one attempt has come."""

import enum


class Progress(enum.Enum):
    """How far a server had answered when an attempt ended."""

    NONE = 'none'
    HEAD = 'head'
    EVENTS = 'events'

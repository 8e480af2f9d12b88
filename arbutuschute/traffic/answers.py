"""Responses of backend servers, as request handling uses them."""

import msgspec

from arbutuschute import messages


class Head(msgspec.Struct, frozen=True):
    """The start of a response; ``headers`` are those to pass on.

    ``origin_proof`` is an opaque proof of which server answered;
    ``confidence`` is the model's own, from 0 to 100; ``slowness`` is a
    factor, 1 for a server of normal speed. ``rate_limit`` is how many
    requests a second the server accepts from all instances, None for any;
    ``is_leaving`` says that it takes no new requests, ``hold_s`` for how long
    it wants none. ``cold_s`` is how much longer it stays cold, None if it
    doesn't say so. ``claims_not_run`` is whether the status promises that the
    request has not run, while the server has not said so otherwise.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    origin_proof: str | None = None
    confidence: float | None = None
    load: messages.LoadReport | None = None
    slowness: float = 1.0
    rate_limit: float | None = None
    is_leaving: bool = False
    hold_s: float = 0.0
    cold_s: float | None = None
    claims_not_run: bool = False

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_failure(self):
        """Whether the server itself failed, or its status can't be true."""
        return self.status >= 500 or self.claims_not_run


class Answer(msgspec.Struct, frozen=True):
    """A complete response."""

    head: Head
    body: bytes

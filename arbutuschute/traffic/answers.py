"""Answers of backend servers, as the story of a request reads them."""

import msgspec

from arbutuschute import messages


class Head(msgspec.Struct, frozen=True):
    """The start of an answer; ``headers`` are those to pass on.

    ``seal`` proves which server made the answer; ``confidence`` is the
    model's own opinion of it, from 0 to 100.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    origin_proof: str | None = None
    confidence: float | None = None
    load: messages.LoadReport | None = None
    slowness: float = 1.0

    @property
    def is_success(self):
        """Whether this is a 2xx."""
        return 200 <= self.status < 300

    @property
    def is_failure(self):
        """Whether the server itself failed."""
        return self.status >= 500


class Answer(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: Head
    body: bytes

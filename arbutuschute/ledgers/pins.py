"""Session pins: all requests of a session go to the same version.

Callers that return a signed token carry the pin themselves. For callers
that only name a session, the live router that ranks first for the session
owns the pin and copies it to the next in rank. One that has started lately
asks them before it takes a session for a new one.
"""

import asyncio
import base64
import collections
import hashlib
import hmac
import itertools

import msgspec

from arbutuschute import decoding
from arbutuschute import messages

QUERY_TIMEOUT_S = 0.3
MAX_PINS = 100_000
COPIES_PER_PIN = 2
TOKEN_VERSION = 'v1'
# Sessions with longer pauses are rare.
RECENT_START_S = 600.0


class Token(msgspec.Struct, frozen=True, array_like=True):
    """The signed content of a session token."""

    organisation: str
    profile: str
    versions: dict[str, str]


def sign_token(token, secret):
    """Return the text of a session token."""
    payload = base64.urlsafe_b64encode(msgspec.json.encode(token)).decode()
    return f'{TOKEN_VERSION}.{payload}.{_compute_signature(payload, secret)}'


def read_token(text, secret):
    """Return the ``Token`` in a text, or None if its signature is wrong."""
    try:
        version, payload, signature = text.split('.')
        expected = _compute_signature(payload, secret)
        if version != TOKEN_VERSION or not hmac.compare_digest(
            signature, expected
        ):
            return None
        return decoding.decode_json(base64.urlsafe_b64decode(payload), Token)
    except (ValueError, msgspec.DecodeError):
        return None


def _compute_signature(payload, secret):
    digest = hmac.new(secret.encode(), payload.encode(), hashlib.sha256)
    return digest.hexdigest()


class Pins:
    """Pins that this instance owns, holds as copies or has looked up."""

    __slots__ = (
        '_identity',
        '_is_usable',
        '_now',
        '_rank_owners',
        '_responding',
        '_send',
        '_sequence',
        '_started_at',
        '_waiting',
        'held',
    )

    def __init__(self, identity, send, rank_owners, is_usable, now):
        self._identity = identity
        self._now = now
        self._started_at = now()
        # Tasks that find out what to respond.
        self._responding = set()
        self._send = send
        self._rank_owners = rank_owners
        self._is_usable = is_usable
        self._sequence = itertools.count(1)
        self._waiting = {}
        self.held = collections.OrderedDict()

    async def pin(self, session, proposal):
        """Return the version of a session, ``proposal`` if it has none.

        If no owner answers in time the proposal is used: all instances
        propose the same version except while a roll-out step takes effect.
        """
        known = self.held.get(session)
        if known is not None and self._is_usable(session, known):
            self.held.move_to_end(session)
            return known
        for owner in self._rank_owners(session)[:COPIES_PER_PIN]:
            if owner == self._identity[0]:
                return await self._decide_owned(session, proposal)
            version = await self._query_owner(owner, session, proposal)
            if version is not None:
                self._store(session, version)
                return version
        return self.decide(session, proposal)

    async def _decide_owned(self, session, proposal):
        """Decide, after asking for what was known before this start."""
        if not self._may_be_lost(session):
            return self.decide(session, proposal)
        ranked = self._rank_owners(session)[: COPIES_PER_PIN + 1]
        own = self._identity[0]
        following = ranked[ranked.index(own) + 1 :] if own in ranked else ()
        for name in following:
            version = await self._query_owner(name, session, proposal)
            if version is not None:
                return self.decide(session, version)
        return self.decide(session, proposal)

    def _may_be_lost(self, session):
        """Return whether others may know a pin that this process doesn't."""
        return (
            session not in self.held
            and self._now() - self._started_at < RECENT_START_S
        )

    def decide(self, session, proposal):
        """Return the version of an owned session, pinned to ``proposal``.

        An existing pin that is still usable takes precedence.
        """
        known = self.held.get(session)
        if known is not None and self._is_usable(session, known):
            return known
        self._store(session, proposal)
        sender, incarnation = self._identity
        copy = messages.PinCopy(
            sender=sender,
            incarnation=incarnation,
            session=session,
            version=proposal,
        )
        for name in self._rank_owners(session)[: COPIES_PER_PIN + 1]:
            if name != sender:
                self._send(name, copy)
        return proposal

    def handle_message(self, message):
        """Handle a peer's pin request, response or copy."""
        if isinstance(message, messages.PinRequest):
            if self._may_be_lost(message.session):
                task = asyncio.ensure_future(self._respond_later(message))
                self._responding.add(task)
                task.add_done_callback(self._responding.discard)
                return
            version = self.decide(message.session, message.proposal)
            self._respond(message, version)
        elif isinstance(message, messages.PinResponse):
            waiting = self._waiting.get(message.seq)
            if waiting and not waiting.done():
                waiting.set_result(message.version)
        else:
            self._store(message.session, message.version)

    async def _respond_later(self, message):
        version = await self._decide_owned(message.session, message.proposal)
        self._respond(message, version)

    def _respond(self, message, version):
        sender, incarnation = self._identity
        response = messages.PinResponse(
            sender=sender,
            incarnation=incarnation,
            seq=message.seq,
            session=message.session,
            version=version,
        )
        self._send(message.sender, response)

    async def _query_owner(self, owner, session, proposal):
        sender, incarnation = self._identity
        seq = next(self._sequence)
        request = messages.PinRequest(
            sender=sender,
            incarnation=incarnation,
            seq=seq,
            session=session,
            proposal=proposal,
        )
        response = asyncio.get_running_loop().create_future()
        self._waiting[seq] = response
        try:
            if not self._send(owner, request):
                return None
            return await asyncio.wait_for(response, QUERY_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None
        finally:
            del self._waiting[seq]

    def _store(self, session, version):
        self.held[session] = version
        self.held.move_to_end(session)
        while len(self.held) > MAX_PINS:
            self.held.popitem(last=False)

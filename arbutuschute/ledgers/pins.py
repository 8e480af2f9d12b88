"""Session pins: a session keeps its version.

A signed token makes the pin stateless for callers that send it back. For
callers that only name a session, the live router that ranks first for
the session owns its pin and copies it to the next in rank.
"""

import asyncio
import base64
import collections
import hashlib
import hmac
import itertools

import msgspec

from arbutuschute import messages

ASK_TIMEOUT_S = 0.3
PINS_HELD = 100_000
COPIES = 2
TOKEN_VERSION = 'v1'


class Token(msgspec.Struct, frozen=True, array_like=True):
    """What a session token states; signed, so that it can be believed."""

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
        return msgspec.json.decode(
            base64.urlsafe_b64decode(payload), type=Token
        )
    except (ValueError, msgspec.DecodeError):
        return None


def _compute_signature(payload, secret):
    digest = hmac.new(secret.encode(), payload.encode(), hashlib.sha256)
    return digest.hexdigest()


class Pins:
    """Pins that this instance owns, stands in for, or has looked up."""

    __slots__ = (
        '_identity',
        '_is_usable',
        '_numbers',
        '_rank_owners',
        '_send',
        '_waiting',
        'held',
    )

    def __init__(self, identity, send, rank_owners, is_usable):
        self._identity = identity
        self._send = send
        self._rank_owners = rank_owners
        self._is_usable = is_usable
        self._numbers = itertools.count(1)
        self._waiting = {}
        self.held = collections.OrderedDict()

    async def pin(self, session, proposal):
        """Return the version that a session keeps, ``proposal`` if new.

        If no owner answers in time the proposal stands: every instance
        proposes the same one but while a roll-out step takes effect.
        """
        known = self.held.get(session)
        if known is not None and self._is_usable(session, known):
            self.held.move_to_end(session)
            return known
        for owner in self._rank_owners(session)[:COPIES]:
            if owner == self._identity[0]:
                return self.decide(session, proposal)
            version = await self._ask(owner, session, proposal)
            if version is not None:
                self._hold(session, version)
                return version
        return self.decide(session, proposal)

    def decide(self, session, proposal):
        """Return an owned session's version, pinning it if it has none."""
        known = self.held.get(session)
        if known is not None and self._is_usable(session, known):
            return known
        self._hold(session, proposal)
        sender, incarnation = self._identity
        copy = messages.PinCopy(
            sender=sender,
            incarnation=incarnation,
            session=session,
            version=proposal,
        )
        for name in self._rank_owners(session)[: COPIES + 1]:
            if name != sender:
                self._send(name, copy)
        return proposal

    def accept(self, message):
        """Take in a peer's question, answer or copy about pins."""
        if isinstance(message, messages.PinRequest):
            self._answer(message)
        elif isinstance(message, messages.PinResponse):
            waiting = self._waiting.get(message.seq)
            if waiting and not waiting.done():
                waiting.set_result(message.version)
        else:
            self._hold(message.session, message.version)

    def _answer(self, message):
        sender, incarnation = self._identity
        told = messages.PinResponse(
            sender=sender,
            incarnation=incarnation,
            seq=message.seq,
            session=message.session,
            version=self.decide(message.session, message.proposal),
        )
        self._send(message.sender, told)

    async def _ask(self, owner, session, proposal):
        sender, incarnation = self._identity
        seq = next(self._numbers)
        question = messages.PinRequest(
            sender=sender,
            incarnation=incarnation,
            seq=seq,
            session=session,
            proposal=proposal,
        )
        answered = asyncio.get_running_loop().create_future()
        self._waiting[seq] = answered
        try:
            if not self._send(owner, question):
                return None
            return await asyncio.wait_for(answered, ASK_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None
        finally:
            del self._waiting[seq]

    def _hold(self, session, version):
        self.held[session] = version
        self.held.move_to_end(session)
        while len(self.held) > PINS_HELD:
            self.held.popitem(last=False)

"""Decoding of what others have written, in whatever form it is.

Every failure is a ``msgspec.DecodeError``.
"""

import typing

import msgspec


class _Decoder:
    """A decoder of one type that also refuses what is nested too deeply."""

    __slots__ = ('_decoder',)

    def __init__(self, decoder):
        self._decoder = decoder

    def decode(self, raw):
        """Return the value in ``raw``; raise ``msgspec.DecodeError``."""
        try:
            return self._decoder.decode(raw)
        except RecursionError:
            raise msgspec.DecodeError('nested too deeply') from None


def make_json_decoder(kind=typing.Any):
    """Return a decoder of JSON to ``kind``."""
    return _Decoder(msgspec.json.Decoder(kind))


def make_msgpack_decoder(kind):
    """Return a decoder of MessagePack to ``kind``."""
    return _Decoder(msgspec.msgpack.Decoder(kind))


def decode_json(raw, kind=typing.Any):
    """Return the ``kind`` in JSON; raise ``msgspec.DecodeError``."""
    return make_json_decoder(kind).decode(raw)

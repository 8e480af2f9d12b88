"""Validation of JSON documents: settings, profiles and organisations."""

import pathlib

import msgspec
from returns import result

from arbutuschute import decoding
from arbutuschute import errors


def read_json(path):
    """Return ``Result`` with the decoded file.

    Its failure is ``UnreadableFile``, or ``BrokenDocument`` if the content
    is not JSON.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
        return result.Success(decoding.decode_json(raw))
    except OSError as error:
        return result.Failure(errors.UnreadableFile(path, error.strerror))
    except msgspec.DecodeError as error:
        fault = f'$: expected JSON, {error}'
        return result.Failure(errors.BrokenDocument(str(path), (fault,)))


def convert(raw, kind, name):
    """Return ``Result`` with ``raw`` as ``kind``.

    Its failure is ``BrokenDocument`` with all faults, not only the first.
    """
    try:
        return result.Success(msgspec.convert(raw, kind))
    except msgspec.ValidationError:
        faults = tuple(find_faults(raw, kind))
        return result.Failure(errors.BrokenDocument(name, faults))


def find_faults(raw, kind, path='$'):
    """Yield one line per fault: its path in the document and its message.

    msgspec stops at the first fault, so each field is converted alone.
    """
    if not _is_struct(kind) or not isinstance(raw, dict):
        yield from _convert_alone(raw, kind, path)
        return
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    for name in raw.keys() - fields.keys():
        yield f'{path}.{name}: unknown field'
    for name, field in fields.items():
        if name in raw:
            yield from find_faults(raw[name], field.type, f'{path}.{name}')
        elif field.required:
            yield f'{path}.{name}: required field is missing'
    yield from _check_whole(raw, kind, path, fields)


def _is_struct(kind):
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _convert_alone(raw, kind, path):
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(' - at `$')
        yield f'{path}{location.rstrip("`")}: {message}'


def _check_whole(raw, kind, path, fields):
    """Yield the faults of the whole object, such as ``__post_init__``'s."""
    known = {name: raw[name] for name in raw.keys() & fields.keys()}
    try:
        msgspec.convert(known, kind)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(' - at `$')
        if not location:
            yield f'{path}: {message}'

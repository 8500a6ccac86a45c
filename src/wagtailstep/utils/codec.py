"""Encoding of messages between daemons and of records in the log.

A message is an attrs class that was registered with :func:`message`. On the wire
it is a MessagePack pair of a name and the fields. The name is ``wire_name`` if the
class defines it, else the name of the class. ``wire_name`` gives frequent messages a
short name, and lets a class be renamed without a change of the format.
"""

from typing import Any, TypeVar

import msgspec

from wagtailstep.exceptions import DecodeError

_T = TypeVar("_T", bound=type)
# Raised by msgspec for bytes that it can't decode, the second one if they are nested
# too deeply, even within fields that are skipped.
DECODE_FAILURES = (msgspec.MsgspecError, RecursionError)
_MESSAGE_TYPES: dict[str, type] = {}
_WIRE_NAMES: dict[type, str] = {}


class _Envelope(msgspec.Struct, array_like=True):
    name: str
    fields: msgspec.Raw


def message(cls: _T) -> _T:
    """Register an attrs class as a message; use as a class decorator.

    :raises ValueError: if another class is registered under the same name.
    """
    name = getattr(cls, "wire_name", cls.__name__)
    if name in _MESSAGE_TYPES:
        raise ValueError(f"another message is already registered as {name}")
    _MESSAGE_TYPES[name] = cls
    _WIRE_NAMES[cls] = name
    return cls


def encode_message(value: Any) -> bytes:
    """Encode a registered message.

    :raises TypeError: if the class of ``value`` is not registered.
    """
    name = _WIRE_NAMES.get(type(value))
    if name is None:
        raise TypeError(f"{type(value).__name__} is not a registered message")
    fields = msgspec.Raw(msgspec.msgpack.encode(value))
    return msgspec.msgpack.encode(_Envelope(name, fields))


def decode_message(data: bytes) -> Any:
    """Decode a message encoded by :func:`encode_message`.

    :raises DecodeError: if the bytes do not hold a registered message.
    """
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
        cls = _MESSAGE_TYPES[envelope.name]
        return msgspec.msgpack.decode(envelope.fields, type=cls)
    except (KeyError, *DECODE_FAILURES) as error:
        raise DecodeError(f"not a known message: {error}") from error

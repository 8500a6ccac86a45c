"""Frames that consist of a length and as many bytes."""

import struct
from collections.abc import Iterator

from wagtailstep.exceptions import DecodeError

FRAME_LENGTH = struct.Struct(">I")


def split_frames(data: bytes, position: int = 0) -> Iterator[bytes]:
    """Yield the content of each frame.

    :param position: where the first frame begins.
    :raises DecodeError: if the data is truncated within a frame.
    """
    while position < len(data):
        start = position + FRAME_LENGTH.size
        if start <= len(data):
            (length,) = FRAME_LENGTH.unpack_from(data, position)
            position = start + length
        if start > len(data) or position > len(data):
            raise DecodeError("the data is truncated within a frame")
        yield data[start:position]

"""Identifiers made from a seeded random generator."""

import random


def make_id(rng: random.Random, bits: int = 64) -> str:
    """Return a random identifier in hexadecimal digits.

    :param bits: size of the identifier, a multiple of 4.
    """
    return f"{rng.getrandbits(bits):0{bits // 4}x}"

"""The numbers of a configuration, which entries calculate with."""

import math
import typing

import attrs

from chivepier.gateway.config.configurationerror import ConfigurationError

# Messages between nodes encode integers in 64 bits, signed.
MAX_INTEGER = 2**63 - 1


def check_numbers(part: typing.Any) -> None:
    """Check that all numbers in a part of a configuration are finite.

    A number like 1e999 is JSON, yet read as infinite.

    >>> check_numbers((("service", 1.0), ("other", 2.5)))
    >>> check_numbers((("service", 1.0), ("other", math.inf)))
    Traceback (most recent call last):
        ...
    chivepier...ConfigurationError: inf is no finite number

    :param part: an attrs instance, a tuple of parts, or a value
    :raises ConfigurationError: names the first number that is not finite, or
        an integer beyond 64 bits
    """
    match part:
        case tuple():
            parts = part
        case float() if not math.isfinite(part):
            raise ConfigurationError(f"{part} is no finite number")
        case int() if abs(part) > MAX_INTEGER:
            raise ConfigurationError("a whole number is beyond 64 bits")
        case _ if attrs.has(type(part)):
            parts = attrs.astuple(part, recurse=False)
        case _:
            return
    for each in parts:
        check_numbers(each)

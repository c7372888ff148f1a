"""Bounded bodies of requests."""

import asyncio
import json
import math

import aiohttp
from aiohttp import web

from chivepier.types import ErrorKind
from chivepier.types import RequestError

MAX_DEPTH = 64
MAX_VALUES = 200_000
READ_SECONDS = 30.0


async def read_body(request: web.Request) -> bytes:
    """Read a bounded body.

    :param request: the caller's request
    :returns: its bytes
    :raises RequestError: ``too_large`` or ``bad_request``
    """
    try:
        async with asyncio.timeout(READ_SECONDS):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        text = "the body is too large"
        raise RequestError.of(ErrorKind.TOO_LARGE, text) from None
    except TimeoutError:
        text = f"the body did not come in {READ_SECONDS:.0f} s"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text) from None
    except (aiohttp.ClientError, aiohttp.http.HttpProcessingError):
        text = "the body can't be read"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text) from None


async def read_json(request: web.Request) -> object:
    """Read a bounded JSON body.

    :param request: the caller's request
    :returns: the parsed body
    :raises RequestError: ``too_large`` or ``bad_request``
    """
    return parse_json(await read_body(request))


def parse_json(data: bytes) -> object:
    """Parse JSON that may be written in bad faith.

    >>> parse_json(b'{"a": [1, 2]}')
    {'a': [1, 2]}

    :param data: any bytes
    :returns: the value; every text in it can be encoded, every number is
        finite
    :raises RequestError: ``bad_request``
    """
    try:
        # UTF-8 only: the library would guess UTF-16 and let it pass
        plain = json.loads(data.decode())
        _check(plain)
        return plain
    except (ValueError, RecursionError) as error:
        reason = str(error) if isinstance(error, BadValueError) else ""
        text = f"the body is not JSON{reason and ': '}{reason}"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text) from None


class BadValueError(ValueError):
    """A value that JSON's grammar allows and we don't."""


def _check(plain: object) -> None:
    level, depth, count = [plain], 0, 0
    while level:
        depth += 1
        count += len(level)
        if depth > MAX_DEPTH:
            raise BadValueError(f"more than {MAX_DEPTH} levels deep")
        if count > MAX_VALUES:
            raise BadValueError(f"more than {MAX_VALUES} values")
        level = [child for value in level for child in _children(value)]


def _children(value: object) -> list:
    match value:
        case dict():
            return [*value, *value.values()]
        case list():
            return value
        case str():
            # a lone surrogate can't be encoded for the engine
            value.encode()
        case float() if not math.isfinite(value):
            raise BadValueError("a number is not finite")
    return []

"""HTTP answers of failures."""

import asyncio
import typing

from aiohttp import web
import logbook

from chivepier.types import ERROR_TABLE
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import render_failure
from chivepier.types import render_headers
from chivepier.types import RequestError

log = logbook.Logger("http")


def answer_failure(failure: Failure) -> web.Response:
    """Answer a failure by the one table.

    :param failure: what happened
    :returns: the response
    """
    return web.json_response(
        render_failure(failure),
        status=ERROR_TABLE[failure.kind].status,
        headers=render_headers(failure),
    )


def make_error_middleware(metrics):
    """Build the middleware that turns errors into answers.

    :param metrics: counts failures by kind
    :returns: the middleware
    """

    @web.middleware
    async def middleware(request, handler):
        try:
            return await handler(request)
        except RequestError as error:
            failure = error.failure
        except web.HTTPException as error:
            failure = _translate(error)
        except Exception:
            log.exception("request failed path={}", request.path)
            text = "internal error"
            failure = Failure(ErrorKind.INTERNAL, text, Ran.UNKNOWN)
        metrics.count_failure(failure)
        if request.writer.output_size:
            break_off(request, failure)
        return answer_failure(failure)

    return middleware


def break_off(request: web.Request, failure: Failure) -> typing.NoReturn:
    """End an answer that has begun, without a second one behind it.

    Its caller would find that one's head and body among its events, and take
    the stream for ended in order.

    :param request: the request that is being answered
    :param failure: what happened
    :raises CancelledError: always
    """
    log.error(
        "answer broken off path={} kind={} reason={}",
        request.path,
        failure.kind.value,
        failure.message,
    )
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _translate(error: web.HTTPException) -> Failure:
    match error.status:
        case 404:
            return Failure(ErrorKind.NOT_FOUND, "no such path")
        case 413:
            return Failure(ErrorKind.TOO_LARGE, "the body is too large")
        case _:
            return Failure(ErrorKind.BAD_REQUEST, error.reason)

"""Tests of requests for what an entry does not know."""

import pytest

from chivepier.gateway.serving import Doubt
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.types import ErrorKind


@pytest.mark.parametrize("doubt", Doubt)
def test_refusal_in_doubt_tells_its_reason(doubt):
    # Guards against refusals of which the log does not tell the reason.
    async def test(parts):
        parts.state.find_doubt = lambda: doubt
        failure = await fail(parts, make_request("/none/x"))
        assert failure.kind is ErrorKind.NOT_READY
        (line,) = parts.read_lines("request_ended")
        assert doubt.value in line["reason"]

    play(test, "a")

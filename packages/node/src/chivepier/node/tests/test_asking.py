"""Permits from pools with several shards."""

import asyncio

import pytest

from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.node.asking import acquire_permit
from chivepier.node.shards import choose_shards
from chivepier.node.tests.fakeentry import make_entry
from chivepier.types import ErrorKind
from chivepier.types import RequestError

REQUEST = PermitRequest(
    "r", "p", 0, "t", "x", "m", "", 1, 1, 1, (), "a", "n1", 1.0, ()
)
COUNT = 8


def ask(key, refused, kind=ErrorKind.NO_TARGET):
    """Ask a pool in which some shards refuse; return the shards asked."""
    asked = []

    async def acquire(request):
        asked.append(request)
        if request.shard in refused:
            raise RequestError.of(kind, "no")
        return PermitAnswer(1, "t", "t", 0, "", "", 0)

    async def run():
        async with make_entry() as entry:
            entry.directory.pool_shards = lambda _: COUNT
            entry.permits.acquire = acquire
            request, _ = await acquire_permit(entry, REQUEST, key)
            assert request == asked[-1]

    asyncio.run(run())
    return asked


def test_requests_spread_over_the_shards_and_like_ones_keep_together():
    """With all of them in shard 0, the targets of others stood idle."""
    shards = [ask(str(key), ())[0].shard for key in range(100)]
    assert set(shards) == set(range(COUNT))
    assert shards == [ask(str(key), ())[0].shard for key in range(100)]


def test_a_shard_without_targets_is_not_the_whole_pool():
    first, second = choose_shards(COUNT, "k")
    asked = ask("k", (first,))
    assert [r.shard for r in asked] == [first, second]
    assert asked[0].request != asked[1].request


def test_what_another_shard_cannot_help_is_not_asked_again():
    first, _ = choose_shards(COUNT, "k")
    with pytest.raises(RequestError):
        ask("k", (first,), ErrorKind.NOT_READY)

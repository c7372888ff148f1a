"""Asking the owners of a pool for a permit."""

import asyncio

import attrs

from chivepier.messages import PermitAnswer
from chivepier.messages import PermitRequest
from chivepier.node.entry import Entry
from chivepier.node.shards import choose_shards
from chivepier.types import ErrorKind
from chivepier.types import RequestError

ELSEWHERE = (ErrorKind.NO_TARGET, ErrorKind.OVERLOADED)
SOON_SECONDS = 1.0


async def acquire_permit(
    entry: Entry, request: PermitRequest, key: str
) -> tuple[PermitRequest, PermitAnswer]:
    """Get a permit from one of the pool's shards.

    A shard that refuses at once, for want of targets or room, isn't the
    whole pool; one that refused after a wait has used up the patience.

    :param entry: the node's parts
    :param request: what is asked; its shard is filled in here
    :param key: keeps alike requests in one shard
    :returns: the request as it was asked, and the permit
    :raises RequestError: when no shard grants one
    """
    loop = asyncio.get_running_loop()
    soon = loop.time() + SOON_SECONDS
    count = entry.directory.pool_shards(request.pool)
    shards = choose_shards(count, key)
    for shard in shards:
        asked = attrs.evolve(request, shard=shard)
        try:
            return asked, await entry.permits.acquire(asked)
        except RequestError as error:
            last = shard == shards[-1] or loop.time() > soon
            if last or error.failure.kind not in ELSEWHERE:
                raise
            request = attrs.evolve(
                request, request=entry.permits.name_request()
            )
    raise AssertionError("a pool has at least one shard")

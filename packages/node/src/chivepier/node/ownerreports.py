"""What an entry tells the owners of its permits."""

import collections.abc

from chivepier.messages import Member
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.node.cluster import Cluster
from chivepier.node.inflight import Inflight
from chivepier.node.owner import Owner
from chivepier.node.ownerchoice import OwnerChoice
from chivepier.node.permitnumber import find_rank

PROGRESS_SECONDS = 0.25
PROGRESS_BYTES = 12
PROGRESS_BYTES_PER_SECOND = 8000

InflightByPermit = collections.abc.Mapping[tuple[str, int, int], Inflight]


class OwnerReports:
    """Reports progress in batches, and the end of each request at once.

    :param choice: knows who hears of a permit
    :param inflight: by pool, shard and permit
    """

    def __init__(
        self,
        cluster: Cluster,
        owner: Owner,
        choice: OwnerChoice,
        inflight: InflightByPermit,
    ):
        self._cluster = cluster
        self._owner = owner
        self._choice = choice
        self._inflight = inflight

    async def run(self) -> None:
        """Report progress for as long as the node lives."""
        while True:
            # a busy entry reports less often, so that reports keep to a
            # fixed share of the budget of bytes
            size = len(self._inflight) * PROGRESS_BYTES
            wait = max(PROGRESS_SECONDS, size / PROGRESS_BYTES_PER_SECOND)
            await self._cluster.clock.sleep(wait)
            await self.send_progress()

    async def send_progress(self) -> None:
        """Tell each shard's owner how far its requests are, at once."""
        shards: dict[tuple[str, int, int], list[tuple[int, int]]] = {}
        for (pool, shard, permit), inflight in self._inflight.items():
            tokens = shards.setdefault((pool, shard, find_rank(permit)), [])
            tokens.append((permit, inflight.tokens))
        for (pool, shard, rank), tokens in shards.items():
            report = ProgressReport(
                self._cluster.holder, pool, shard, tuple(tokens)
            )
            await self._tell(report, rank)

    async def send_release(self, report: ReleaseReport) -> None:
        """Tell that a request ended.

        :param report: the permit and how it ended
        """
        await self._tell(report, find_rank(report.permit))

    async def _tell(
        self, report: ProgressReport | ReleaseReport, rank: int
    ) -> None:
        told = self._choice.list_told(report.pool, report.shard, rank)
        for member in told:
            await self._tell_member(member, report)

    async def _tell_member(
        self, owner: Member, report: ProgressReport | ReleaseReport
    ) -> None:
        if not self._choice.is_here(owner):
            await self._cluster.links.send(owner.peer_address, report)
        elif isinstance(report, ProgressReport):
            self._owner.handle_progress(report)
        else:
            self._owner.handle_release(report)

"""Voters without a network, which keep where streams began."""

import asyncio

from chivepier.gateway.messages import OriginNotice
from chivepier.gateway.messages import OriginRequest
from chivepier.gateway.origins import OriginKeeper
from chivepier.gateway.origins import OriginKey
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time
from chivepier.wire.channel import prepare
from chivepier.wire.frame import dump_frame
from chivepier.wire.linkerror import LinkError

VOTERS = tuple("pqrst")


class Voters:
    """Voters without a network; ``down`` refuse, ``silent`` don't answer.

    What can't be encoded is refused as a link refuses it.
    """

    def __init__(self) -> None:
        self.keepers = {name: self._make_keeper() for name in VOTERS}
        self.epochs = {name: "1" for name in VOTERS}
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.notices = 0

    def _make_keeper(self) -> OriginKeeper:
        return OriginKeeper(LoopClock(), lambda: None)

    def restart(self, name: str) -> None:
        """Start a voter again, without its memory."""
        self.keepers[name] = self._make_keeper()
        self.epochs[name] += "1"

    async def request(self, peer: str, message, timeout: float):
        """Answer a message of an entry."""
        if peer in self.silent:
            await asyncio.sleep(timeout)
        try:
            dump_frame([prepare(message)])
        except ValueError as error:
            raise LinkError(str(error), sent=False) from None
        if peer in self.down | self.silent:
            raise LinkError(f"{peer} does not answer", sent=True)
        match message:
            case OriginNotice():
                self.notices += 1
                return self.keepers[peer].receive(message)
            case OriginRequest():
                return self.keepers[peer].answer(message)

    def count(self, attempt: str) -> int:
        """Count the voters that know where a stream began."""
        key, now = OriginKey("t1", attempt), tell_time()
        return sum(
            keeper.table.find(key, now) is not None
            for keeper in self.keepers.values()
        )

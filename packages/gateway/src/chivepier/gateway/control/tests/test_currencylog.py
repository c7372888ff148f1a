"""Tests of the lines about what a voter tells entries of itself."""

import asyncio

from chivepier.gateway.control.currencylog import CurrencyLog
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until


class Lines:
    """Keeps the names of events."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        """Keep one event."""
        self.names.append(event)


def test_voter_writes_when_it_ceases_to_be_current_and_when_it_is_again(
    tmp_path,
):
    # Guards against doubts of all entries of which no voter's log tells.
    async def test(fleet):
        await fleet.write(3, "kept")
        follower = next(
            voter
            for voter in fleet.voters.values()
            if not voter.replica.leads()
        )
        address = follower.membership._own_address
        lines = Lines()
        log = CurrencyLog(follower.replica, lines)
        await wait_until(lambda: log.tell(3))
        fleet.cut(address)
        await wait_until(lambda: not log.tell(3))
        fleet.heal(address)
        await wait_until(lambda: log.tell(3))
        await asyncio.sleep(1.0)
        assert log.tell(3)
        assert lines.names[-3:] == [
            "voter_current",
            "voter_doubted",
            "voter_current",
        ]

    play(test, tmp_path)

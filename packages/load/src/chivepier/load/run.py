"""Running a plan against the system."""

import asyncio

import aiohttp

from chivepier.load.addressbook import AddressBook
from chivepier.load.arrival import Arrival
from chivepier.load.caller import Caller
from chivepier.load.report import Report
from chivepier.types import Clock


async def run_plan(
    clock: Clock, arrivals: list[Arrival], entries: tuple, zone: str = ""
) -> Report:
    """Start each request at its time and wait for all answers.

    :param clock: the running system's
    :param arrivals: what was planned
    :param entries: addresses to ask at first
    :param zone: the callers' availability zone
    :returns: the report
    """
    report = Report()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        book = AddressBook(clock, http, entries, zone)
        caller = Caller(clock, http, book)
        started = clock.monotonic()

        async def run_one(arrival: Arrival) -> None:
            report.add(await caller.run(arrival))

        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                wait = started + arrival.at - clock.monotonic()
                await clock.sleep(max(0.0, wait))
                group.create_task(run_one(arrival))
    return report

"""Invalid announcements, as from writers that are no targets."""

import asyncio
import json
import random
import typing

import aiohttp

if typing.TYPE_CHECKING:
    from soak.run import Soak

BAD_REQUEST_STATUS = 400
WRITES = 6
VALID_FIELDS = {
    "service": "s",
    "address": "127.0.0.1:9",
    "slots": 8,
    "state": "ready",
    "seq": 10**6,
}
INVALID_FIELDS = (
    {"state": "asleep"},
    {"state": None},
    {"seq": True},
    {"seq": "7"},
    {"seq": 10**30},
    {"slots": 0},
    {"service": 5},
    {"address": "nowhere"},
    {"address": "127.0.0.1:99999"},
    {"cold-left-ms": float("nan")},
    {"born": 1.5},
)
INVALID_BODIES = (b"", b"{", b"\xff\xfe\x00", b"[]", b"null")


async def write_nonsense(soak: "Soak", rng: random.Random) -> None:
    """Send invalid announcements; each accepted one is a violation.

    :param soak: the run whose voters get the announcements
    :param rng: random number generator that draws the announcements
    """
    limit = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=limit) as session:
        for _ in range(WRITES):
            await _write(soak, rng, session)


async def _write(
    soak: "Soak", rng: random.Random, session: aiohttp.ClientSession
) -> None:
    names = ["i-unknown", *(target.instance for target in soak.targets)]
    body = json.dumps({**VALID_FIELDS, **rng.choice(INVALID_FIELDS)}).encode()
    body = rng.choice((body, rng.choice(INVALID_BODIES)))
    path = f"/chivepier/instances/{rng.choice(names)}"
    url = f"http://{rng.choice(soak.controls)}{path}"
    try:
        async with session.put(url, data=body) as answer:
            if answer.status != BAD_REQUEST_STATUS:
                text = f"{body!r} to {path}: {answer.status}"
                soak.checker.violations.append(text)
    except (aiohttp.ClientError, TimeoutError, OSError):
        await asyncio.sleep(0.05)

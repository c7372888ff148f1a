"""Runs the program with each target or voter behind a link of its own.

On loopback all processes share their addresses, so a proxy can't tell whose
connection it gets. Each process reaches a target or voter at an address that
is its own, as if it were the only one before that link.
"""

import asyncio
import json
import os
import pathlib
import runpy
import socket
import sys

import uvloop

PROGRAM = pathlib.Path(__file__).parents[1] / "platform" / "chivepierd.py"
# Variable with the address of the link to each of them, by its own.
VARIABLE = "CHIVEPIER_SOAK_LINKS"
# Variable with what is run; the program itself if left out.
PROGRAM_VARIABLE = "CHIVEPIER_SOAK_PROGRAM"


def main() -> None:
    """Redirect connections to targets and voters, and run the program."""
    links = json.loads(os.environ[VARIABLE])
    connect, open_connection = socket.socket.connect, asyncio.open_connection
    create = uvloop.Loop.create_connection

    def connect_by_link(self, address):
        host, port = _redirect(links, *address[:2])
        return connect(self, (host, port))

    def open_by_link(host, port, **options):
        return open_connection(*_redirect(links, host, port), **options)

    async def create_by_link(loop, factory, host=None, port=None, **options):
        if host is not None:
            host, port = _redirect(links, host, port)
        return await create(loop, factory, host, port, **options)

    socket.socket.connect = connect_by_link
    uvloop.Loop.create_connection = create_by_link
    asyncio.open_connection = open_by_link
    program = os.environ.get(PROGRAM_VARIABLE, str(PROGRAM))
    sys.path.insert(0, str(PROGRAM.parent))
    sys.argv[0] = program
    runpy.run_path(program, run_name="__main__")


def _redirect(links: dict[str, str], host: str, port: int) -> tuple[str, int]:
    host, _, text = links.get(f"{host}:{port}", f"{host}:{port}").rpartition(
        ":"
    )
    return host, int(text)


if __name__ == "__main__":
    main()

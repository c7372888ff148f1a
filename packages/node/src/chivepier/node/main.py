"""The chivepierd program."""

import asyncio
import pathlib
import signal
import sys

import click
import logbook
import uvloop

from chivepier.node.node import Node
from chivepier.node.settings import Settings
from chivepier.state import DamagedError
from chivepier.types import SystemClock

USAGE_EXIT = 2
DAMAGED_EXIT = 3
START_EXIT = 4
MIN_KEY = 8


def parse_address(value: str) -> tuple[str, int]:
    """Split ``ip:port``.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)

    :param value: the text
    :returns: host and port
    :raises ValueError: when it isn't one
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host or not 0 <= int(port) <= 65535:
        raise ValueError(f"not ip:port: {value!r}")
    return host, int(port)


class AddressType(click.ParamType):
    """An ``ip:port`` on the command line."""

    name = "ip:port"

    def convert(self, value, param, ctx):
        """Check the form and keep the text."""
        try:
            parse_address(value)
        except ValueError:
            self.fail(f"{value!r} is not ip:port", param, ctx)
        return value


ADDRESS = AddressType()


@click.command(context_settings={"auto_envvar_prefix": "CHIVEPIER"})
@click.option("--name", required=True, help="Name of this instance.")
@click.option("--region", default="local", show_default=True)
@click.option("--zone", required=True, help="Availability zone.")
@click.option("--listen", type=ADDRESS, required=True, help="HTTP address.")
@click.option("--peer-listen", type=ADDRESS, required=True)
@click.option("--advertise", type=ADDRESS, help="HTTP address for callers.")
@click.option("--peer-advertise", type=ADDRESS)
@click.option("--seed", "seeds", type=ADDRESS, multiple=True)
@click.option("--data-dir", type=click.Path(path_type=pathlib.Path))
@click.option("--cluster-key", required=True)
@click.option("--operator-key", required=True)
@click.option("--deployment-key", required=True)
@click.option("--address-ttl", type=click.FloatRange(0.1, 3600), default=10)
@click.option("--fault-hook", is_flag=True, help="For tests only.")
@click.option("--check", is_flag=True, help="Check the settings and stop.")
@click.option("--print-settings", is_flag=True)
def main(check: bool, print_settings: bool, **options) -> None:
    """Serve callers, targets and operators as one node of chivepier."""
    listen, peer = options["listen"], options["peer_listen"]
    options["advertise"] = options["advertise"] or listen
    options["peer_advertise"] = options["peer_advertise"] or peer
    settings = Settings(**options)
    check_settings(settings)
    if print_settings:
        for field, value in sorted(options.items()):
            shown = "(hidden)" if field.endswith("_key") else value
            click.echo(f"{field}={shown}")
    if check or print_settings:
        return
    logbook.StreamHandler(sys.stderr, level=logbook.INFO).push_application()
    try:
        uvloop.run(serve(settings))
    except DamagedError as error:
        stop(settings, DAMAGED_EXIT, f"data folder is damaged: {error}")
    except OSError as error:
        stop(settings, START_EXIT, f"can't start: {error}")


def stop(settings: Settings, code: int, text: str) -> None:
    """End with one line that says why.

    :param settings: of this instance
    :param code: the exit code
    :param text: what happened
    """
    click.echo(f"chivepierd {settings.name}: {text}", err=True)
    sys.exit(code)


def check_settings(settings: Settings) -> None:
    """Refuse contradictory settings, before a port or file is touched.

    :param settings: what was given
    :raises click.UsageError: one clear line, exit 2
    """
    if settings.listen == settings.peer_listen:
        if not settings.listen.endswith(":0"):
            raise click.UsageError("--listen and --peer-listen are the same")
    for address in (settings.advertise, settings.peer_advertise):
        if address.startswith("0.0.0.0:"):
            raise click.UsageError("--advertise can't be 0.0.0.0")
    keys = {
        "--cluster-key": settings.cluster_key,
        "--operator-key": settings.operator_key,
        "--deployment-key": settings.deployment_key,
    }
    for flag, key in keys.items():
        if len(key) < MIN_KEY:
            raise click.UsageError(f"{flag} is shorter than {MIN_KEY}")
    if len(set(keys.values())) != len(keys):
        raise click.UsageError("two of the three keys are the same")


async def serve(settings: Settings) -> None:
    """Run the node until a stop is asked for.

    :param settings: checked settings
    """
    node = Node(settings, SystemClock())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.start_drain)
    async with node:
        await node.drain()

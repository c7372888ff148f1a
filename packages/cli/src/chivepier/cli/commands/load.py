"""The load command."""

import asyncio
import pathlib

import cattrs
import click
import yaml

from chivepier.cli.commanderror import CommandError
from chivepier.cli.context import Context
from chivepier.cli.context import pass_context
from chivepier.load import plan_arrivals
from chivepier.load import plot_report
from chivepier.load import run_plan
from chivepier.load import TeamLoad
from chivepier.types import ErrorKind
from chivepier.types import SystemClock

PATH = click.Path(path_type=pathlib.Path)


@click.command()
@click.option("-f", "--file", "path", required=True, type=PATH)
@click.option("--seconds", default=10.0, type=click.FloatRange(0.1, 3600))
@click.option("--seed", default=1)
@click.option("--zone", default="")
@click.option("--plot", type=PATH, help="Write a PNG.")
@click.option("--json", "json_path", type=PATH, help="Write the report.")
@pass_context
def load(context: Context, path, seconds, seed, zone, plot, json_path) -> None:
    """Send the load that a file describes and verify every answer.

    The file is a YAML list; see examples/load.yaml for the fields.

    \b
    Example: chivepier load -f examples/load.yaml --seconds 30
    """
    loads = read_loads(path)
    arrivals = plan_arrivals(loads, seconds, seed)
    report = asyncio.run(
        run_plan(SystemClock(), arrivals, context.addresses, zone)
    )
    if plot:
        plot_report(report, plot)
    if json_path:
        json_path.write_text(report.render_json())
    as_json = context.output == "json"
    click.echo(report.render_json() if as_json else report.render_table())
    if report.problems:
        raise CommandError(ErrorKind.INTERNAL, "an answer was broken")


def read_loads(path: pathlib.Path) -> list[TeamLoad]:
    """Read what teams ask for.

    :param path: a YAML list of mappings
    :returns: one load each
    :raises CommandError: ``bad_request``
    """
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=False
    )
    try:
        plain = yaml.safe_load(path.read_text())
        return converter.structure(plain, list[TeamLoad])
    except Exception as error:
        text = f"{path}: {error}".replace("\n", " ")
        raise CommandError(ErrorKind.BAD_REQUEST, text) from None

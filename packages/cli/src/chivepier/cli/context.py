"""What every command is given."""

import json
import typing

import attrs
import click

from chivepier.cli.client import Client
from chivepier.cli.table import render_table


@attrs.frozen
class Context:
    """The client, and how answers are shown."""

    client: Client
    output: str
    addresses: tuple[str, ...]

    def show(
        self, answer: dict, rows: list[dict], columns: tuple[str, ...]
    ) -> None:
        """Print an answer as JSON, or its rows as a table.

        :param answer: the parsed answer
        :param rows: what the table shows of it
        :param columns: the table's columns, in order
        """
        if self.output == "json":
            click.echo(json.dumps(answer, indent=2))
        else:
            click.echo(render_table(rows, columns))


pass_context: typing.Callable = click.make_pass_decorator(Context)

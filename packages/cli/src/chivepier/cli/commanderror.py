"""The error of a command."""

import click

from chivepier.types import ERROR_TABLE
from chivepier.types import ErrorKind


class CommandError(click.ClickException):
    """Printed as one line; the exit code is the error kind's."""

    def __init__(self, kind: ErrorKind, message: str):
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.exit_code = ERROR_TABLE[kind].exit_code

"""The commands, one module each."""

from chivepier.cli.commands.addresses import addresses
from chivepier.cli.commands.apply import apply
from chivepier.cli.commands.delete import delete
from chivepier.cli.commands.diff import diff
from chivepier.cli.commands.drain import drain
from chivepier.cli.commands.evacuate import evacuate
from chivepier.cli.commands.evacuate import readmit
from chivepier.cli.commands.explain import explain
from chivepier.cli.commands.found import found
from chivepier.cli.commands.get import get
from chivepier.cli.commands.history import history
from chivepier.cli.commands.load import load
from chivepier.cli.commands.status import status
from chivepier.cli.commands.voters import voters

COMMANDS = (
    addresses,
    apply,
    delete,
    diff,
    drain,
    evacuate,
    explain,
    found,
    get,
    history,
    load,
    readmit,
    status,
    voters,
)

__all__ = ["COMMANDS"]

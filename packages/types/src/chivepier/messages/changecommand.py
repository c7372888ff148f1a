"""The ChangeCommand message."""

from chivepier.messages.edit import Edit
from chivepier.messages.registry import message


@message(41)
class ChangeCommand:
    """An operator's change: all edits or none."""

    change_id: str
    operator: str
    edits: tuple[Edit, ...]

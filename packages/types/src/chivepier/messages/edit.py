"""The Edit message."""

from chivepier.messages.registry import message


@message(48)
class Edit:
    """One document's edit; ``spec`` of ``None`` removes it."""

    kind: str
    name: str
    base_version: int
    spec: bytes | None

"""The VersionRecord message."""

from chivepier.messages.registry import message


@message(191)
class VersionRecord:
    """A software version whose targets the sender does not know any more.

    ``age`` is the number of seconds since a target of ``service`` that ran it
    was heard.
    """

    service: str
    software_version: str
    age: float

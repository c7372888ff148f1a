"""The EndingRecord message."""

from chivepier.messages.registry import message


@message(166)
class EndingRecord:
    """A target that ended while it was processing a request.

    ``digest`` identifies the request, ``instance`` and ``born`` identify one
    incarnation of the target. ``age`` is the number of seconds since the end
    was seen, sent as an age because clocks of nodes differ. ``source`` is the
    entry that saw the end, and ``how`` the evidence for it. ``team`` is that
    of the caller, ``software`` the service and software version of the target,
    ``answering`` whether it had begun to answer, and ``parts`` the digests of
    those shared parts of the prompt that are not known to be sound.
    """

    digest: str
    instance: str
    born: int
    age: float
    source: str
    how: str
    team: str = ""
    software: str = ""
    answering: bool = False
    parts: tuple[str, ...] = ()

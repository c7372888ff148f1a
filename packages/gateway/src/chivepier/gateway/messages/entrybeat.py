"""The EntryBeat message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.leavingrecord import LeavingRecord
from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.messages.registry import message


@message(152)
class EntryBeat:
    """An entry tells a voter that it lives, and what it has.

    ``revision`` counts what it heard of this voter's targets since the
    voter's start named by ``epoch``. ``follows``: this voter is the one that
    tells it what runs elsewhere and which targets were heard. ``held`` counts
    what it has of this voter's quarantine; ``endings`` and ``clearances`` are
    what it saw itself and this voter has not confirmed yet. ``orders`` is the
    log index up to which it has all orders about availability zones.
    ``limits_held`` counts what it has of the limits that this voter knows;
    ``limits`` are those that it was told by targets, and this voter has not
    confirmed yet. ``leaving`` are the targets that told it in an answer that
    they leave.
    """

    node: str
    address: str
    zone: str
    ready: bool
    version: int
    epoch: str
    revision: int
    follows: bool = False
    quarantine_revision: int = 0
    endings: tuple[EndingRecord, ...] = ()
    clearances: tuple[ClearanceRecord, ...] = ()
    orders: int = -1
    limits_revision: int = 0
    limits: tuple[LimitRecord, ...] = ()
    leaving: tuple[LeavingRecord, ...] = ()

"""Conversion of quarantine records to and from messages."""

import collections.abc

from chivepier.gateway.messages import ClearanceRecord
from chivepier.gateway.messages import EndingRecord
from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashledger import Record
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation


def pack_records(
    records: collections.abc.Iterable[Record], now: float
) -> QuarantineNotice:
    """Convert records to a message, with ages in place of times.

    :param records: endings and clearances
    :param now: current time in this node's monotonic seconds
    """
    endings, clearances = [], []
    for record in records:
        age = max(0.0, now - record.seen)
        match record:
            case Ending():
                endings.append(_pack_ending(record, age))
            case Clearance(digest=digest, source=source, software=software):
                clearances.append(
                    ClearanceRecord(digest, age, source, software)
                )
    return QuarantineNotice(tuple(endings), tuple(clearances))


def _pack_ending(ending: Ending, age: float) -> EndingRecord:
    return EndingRecord(
        ending.digest,
        ending.incarnation.instance,
        ending.incarnation.born,
        age,
        ending.source,
        ending.how,
        ending.team,
        ending.software,
        ending.answering,
        ending.parts,
    )


def unpack_records(notice: QuarantineNotice, now: float) -> list[Record]:
    """Convert a message to records.

    :param notice: message from another node
    :param now: current time in this node's monotonic seconds
    :returns: endings and clearances, with times on this node's clock
    """
    endings = [
        Ending(
            record.digest,
            Incarnation(record.instance, record.born),
            now - record.age,
            record.source,
            record.how,
            record.team,
            record.software,
            record.answering,
            record.parts,
        )
        for record in notice.endings
    ]
    clearances = [
        Clearance(
            record.digest, now - record.age, record.source, record.software
        )
        for record in notice.clearances
    ]
    return [*endings, *clearances]

"""Conversion of targets to messages and back."""

from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.messages import VersionRecord
from chivepier.gateway.targets import PastVersion
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState


def pack_target(target: Target, now: float) -> TargetRecord:
    """Convert a target to a message.

    :param target: the target as this node knows it
    :param now: this node's monotonic seconds
    :returns: the message, with ages in place of times
    """
    return TargetRecord(
        target.instance,
        target.service,
        target.address,
        target.zone,
        target.state.value,
        target.number,
        target.slots,
        max(0.0, target.warm_at - now),
        max(0.0, now - target.heard),
        target.born,
        target.software_version,
    )


def unpack_target(record: TargetRecord, now: float) -> Target:
    """Convert a message to a target.

    :param record: the message
    :param now: this node's monotonic seconds
    :returns: the target, with times on this node's clock
    """
    return Target(
        instance=record.instance,
        service=record.service,
        address=record.address,
        zone=record.zone,
        state=TargetState(record.state),
        number=record.number,
        slots=record.slots,
        heard=now - record.age,
        # 0 means warm; adding the clock would make the target look cold
        warm_at=now + record.warming if record.warming else 0.0,
        born=record.born,
        software_version=record.software_version,
    )


def pack_past_version(past: PastVersion, now: float) -> VersionRecord:
    """Convert a version of targets that are not known any more to a message.

    :param past: the version, and when it was heard
    :param now: this node's monotonic seconds
    """
    return VersionRecord(
        past.service, past.software_version, max(0.0, now - past.heard)
    )


def unpack_past_version(record: VersionRecord, now: float) -> PastVersion:
    """Convert a message to a version of targets that are not known any more.

    :param record: the message
    :param now: this node's monotonic seconds
    """
    return PastVersion(
        record.service, record.software_version, now - record.age
    )

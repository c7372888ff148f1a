"""Targets as messages."""

from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState


def pack_target(target: Target, now: float) -> TargetRecord:
    """Turn a target into a message.

    :param target: as this node knows it
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
    )


def unpack_target(record: TargetRecord, now: float) -> Target:
    """Build a target of a message.

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
        # 0 is no moment: a warm target would seem to have become cold now
        warm_at=now + record.warming if record.warming else 0.0,
        born=record.born,
    )

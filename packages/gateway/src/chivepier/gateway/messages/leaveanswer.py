"""The LeaveAnswer message."""

from chivepier.messages.registry import message


@message(190)
class LeaveAnswer:
    """Answer to a :class:`LeaveRequest`.

    ``settled`` is set once the voter may stop: its vote is gone, or the
    others need it back after a restart. Otherwise it asks again.
    """

    settled: bool

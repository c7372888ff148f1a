"""Lines of the replicated log among the events of a process."""

import logbook

from chivepier.gateway.eventlog.eventlog import EventLog

STATE_CHANNEL = "state"


class LibraryHandler(logbook.Handler):
    """Writes what the replicated log says to an event log.

    Without it, elections and the end of a voter leave no trace: the library
    has no handler of its own.

    :param log: event log of this process
    """

    def __init__(self, log: EventLog):
        super().__init__(
            level=logbook.INFO,
            filter=lambda record, handler: record.channel == STATE_CHANNEL,
        )
        self._log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line.

        :param record: what was logged
        """
        if record.level >= logbook.WARNING:
            self._log.warn("state_changed", text=record.message)
        else:
            self._log.info("state_changed", text=record.message)

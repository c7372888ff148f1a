"""Lines of the libraries among the events of a process."""

import logbook

from chivepier.gateway.eventlog.eventlog import EventLog

# Event by the channel of a library's lines; others are left out.
EVENTS = {"state": "state_changed", "link": "link_changed"}


class LibraryHandler(logbook.Handler):
    """Writes what the replicated log and the peer links say to an event log.

    Without it, elections, the end of a voter and links that went silent leave
    no trace: the libraries have no handler of their own.

    :param log: event log of this process
    """

    def __init__(self, log: EventLog):
        super().__init__(
            level=logbook.INFO,
            filter=lambda record, handler: record.channel in EVENTS,
        )
        self._log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line.

        :param record: what was logged
        """
        is_warning = record.level >= logbook.WARNING
        write = self._log.warn if is_warning else self._log.info
        write(EVENTS[record.channel], text=record.message)

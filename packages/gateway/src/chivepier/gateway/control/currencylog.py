"""Lines about whether a voter tells entries that it is current."""

from chivepier.gateway.eventlog import EventLog
from chivepier.state import Replica


class CurrencyLog:
    """Writes when a voter begins or ceases to know what is committed.

    :param replica: this node's replica
    :param log: receives the lines
    """

    def __init__(self, replica: Replica, log: EventLog):
        self._replica = replica
        self._log = log
        self._written: bool | None = None

    def tell(self, version: int) -> bool:
        """Return whether the voter is current; write a line at a change.

        :param version: version of the configuration known as committed
        """
        replica = self._replica
        is_current = replica.is_current()
        if is_current is not self._written:
            self._written = is_current
            self._log.info(
                "voter_current" if is_current else "voter_doubted",
                version=version,
                term=replica.storage.term,
                leader=replica.leader,
                hears_leader=replica.hears_leader(),
                commit=replica.commit,
                applied=replica.machine.index,
            )
        return is_current

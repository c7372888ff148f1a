"""Logs the weights of entries."""

from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.control.entryweights import MAX_WEIGHT
from chivepier.gateway.eventlog import EventLog


class WeightWatch:
    """Logs each change of an entry's weight, with what it follows from.

    :param directory: the known entries
    :param log: event log of this process
    """

    def __init__(self, directory: EntryDirectory, log: EventLog):
        self._directory = directory
        self._log = log
        self._weights: dict[str, int] = {}

    def check(self) -> None:
        """Log what has changed since the last call."""
        weights = self._directory.compute_weights()
        for beat in self._directory.list_beats():
            before = self._weights.get(beat.node, MAX_WEIGHT)
            weight = weights.get(beat.node, before)
            if weight == before:
                continue
            self._log.info(
                "entry_weight",
                entry=beat.node,
                weight=weight,
                before=before,
                millicores=beat.millicores,
                memory_mb=beat.memory_mb,
                link_kbps=beat.link_kbps,
                descriptors=beat.descriptors,
                busy_percent=beat.busy_percent,
            )
        self._weights = weights

"""The load of each target over all entries."""

import collections

from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.targets.entryload import EntryLoad
from chivepier.gateway.targets.load import Load
from chivepier.types import Signal

# Seconds after which the last report of an entry expires. Entries report every
# second; three lost reports in a row are unlikely.
REPORT_EXPIRY_SECONDS = 3.5


class LoadTracker:
    """Stores absolute counts by entry and target.

    The next report corrects the effect of a lost one.

    :param own_entry: name of this entry
    """

    def __init__(self, own_entry: str):
        self.own_entry = own_entry
        self.changed = Signal()
        self._loads: dict[str, dict[str, EntryLoad]] = collections.defaultdict(
            dict
        )

    def put(self, record: LoadRecord, now: float) -> None:
        """Store the reported load of an entry at a target.

        :param record: reported counts
        :param now: current monotonic time, in seconds
        """
        if record.entry == self.own_entry:
            return
        self._loads[record.instance][record.entry] = EntryLoad(
            record.runs,
            record.tokens,
            record.reading,
            record.copy_ms,
            record.copying,
            record.receiving,
            record.avoiding,
            heard=now,
        )

    def drop_all_remote(self) -> None:
        """Drop the counts of all other entries before a full update."""
        for instance, entries in list(self._loads.items()):
            if self.own_entry in entries:
                self._loads[instance] = {
                    self.own_entry: entries[self.own_entry]
                }
            else:
                del self._loads[instance]

    def adjust_own(
        self,
        instance: str,
        runs: int = 0,
        tokens: int = 0,
        reading: int = 0,
        receiving: int = 0,
    ) -> None:
        """Add to the load of this entry at a target."""
        load = self._loads[instance].setdefault(self.own_entry, EntryLoad())
        load.runs += runs
        load.tokens += tokens
        load.reading += reading
        load.receiving += receiving
        self.changed.set()

    def set_copy_time(self, instance: str, milliseconds: int) -> None:
        """Set how long this entry copies memory off a leaving target."""
        load = self._loads[instance].setdefault(self.own_entry, EntryLoad())
        load.copy_ms = milliseconds
        self.changed.set()

    def set_copying(self, instance: str, copying: bool) -> None:
        """Set whether this entry copies memory off a target now."""
        load = self._loads[instance].setdefault(self.own_entry, EntryLoad())
        load.is_copying = copying
        self.changed.set()

    def avoid(self, instance: str, until: float) -> None:
        """Report that this entry avoids a target for a while.

        :param instance: name of the target
        :param until: monotonic time at which that ends, in seconds
        """
        load = self._loads[instance].setdefault(self.own_entry, EntryLoad())
        load.avoiding, load.avoided_until = 1, until
        self.changed.set()

    def withdraw_avoiding(self, instance: str) -> None:
        """Report that this entry does not avoid a target any more."""
        load = self._loads.get(instance, {}).get(self.own_entry)
        if load is not None and load.avoiding:
            load.avoiding, load.avoided_until = 0, 0.0
            self.changed.set()

    def expire_avoiding(self, now: float) -> None:
        """Clear the expired avoidance reports of this entry.

        :param now: current monotonic time, in seconds
        """
        for entries in self._loads.values():
            load = entries.get(self.own_entry)
            if load is not None and now >= load.avoided_until:
                load.avoiding = 0

    def count_avoiding(self, instance: str, now: float) -> int:
        """Return the number of entries that avoid a target.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        """
        count = 0
        for entry, load in self._loads.get(instance, {}).items():
            if entry == self.own_entry:
                count += now < load.avoided_until
            elif now - load.heard < REPORT_EXPIRY_SECONDS:
                count += load.avoiding
        return count

    def list_own(self) -> list[LoadRecord]:
        """Return the load of this entry by target."""
        return [
            LoadRecord(
                self.own_entry, instance, *entries[self.own_entry].counts
            )
            for instance, entries in self._loads.items()
            if self.own_entry in entries
        ]

    def get_total(self, instance: str, now: float) -> Load:
        """Return the load of a target over all entries.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        """
        runs = tokens = reading = receiving = 0
        for entry, load in self._loads.get(instance, {}).items():
            if (
                entry == self.own_entry
                or now - load.heard < REPORT_EXPIRY_SECONDS
            ):
                runs += load.runs
                tokens += load.tokens
                reading += load.reading
                receiving += load.receiving
        return Load(
            runs=runs,
            tokens=tokens,
            reading=reading,
            receiving=receiving,
        )

    def get_pending_copy_seconds(self, instance: str, now: float) -> float:
        """Return the remaining copy time off a target over all entries.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        :returns: seconds of its link, as if all copies went to other zones
        """
        milliseconds = sum(
            load.copy_ms
            for entry, load in self._loads.get(instance, {}).items()
            if entry == self.own_entry
            or now - load.heard < REPORT_EXPIRY_SECONDS
        )
        return milliseconds / 1000

    def get_copy_wait_ms(self, instance: str, now: float) -> int:
        """Return the copy time of the entries that go before this one.

        Entries copy in the order of their names, but a running copy is not
        interrupted.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        :returns: time until this entry may copy, in milliseconds
        """
        return sum(
            load.copy_ms
            for entry, load in self._loads.get(instance, {}).items()
            if (
                entry < self.own_entry
                or entry != self.own_entry
                and load.is_copying
            )
            and now - load.heard < REPORT_EXPIRY_SECONDS
        )

    def drop_own(self, instance: str) -> None:
        """Drop the counts of this entry at a target without generations."""
        entries = self._loads.get(instance, {})
        entries.pop(self.own_entry, None)
        if not entries:
            self._loads.pop(instance, None)

    def drop_remote(self, instance: str) -> None:
        """Drop the counts of other entries at a target that is gone."""
        own = self._loads.get(instance, {}).get(self.own_entry)
        if own is None:
            self._loads.pop(instance, None)
        else:
            self._loads[instance] = {self.own_entry: own}

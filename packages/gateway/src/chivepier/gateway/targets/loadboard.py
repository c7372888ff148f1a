"""What all entries together run at each target."""

import collections

from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadshare import LoadShare
from chivepier.types import Signal

# Seconds after which what an entry last said no longer counts. Entries
# repeat themselves every second; three losses in a row are no accident.
EXPIRY = 3.5


class LoadBoard:
    """Absolute counts by entry and target; a lost message heals itself.

    :param me: this entry's name
    """

    def __init__(self, me: str):
        self.me = me
        self.changed = Signal()
        self._shares: dict[str, dict[str, LoadShare]] = (
            collections.defaultdict(dict)
        )

    def put(self, record: LoadRecord, now: float) -> None:
        """Take what an entry says it runs at a target.

        :param record: its counts
        :param now: monotonic seconds
        """
        if record.entry == self.me:
            return
        self._shares[record.instance][record.entry] = LoadShare(
            record.runs,
            record.tokens,
            record.reading,
            record.copy_ms,
            record.copying,
            record.receiving,
            record.avoiding,
            heard=now,
        )

    def drop_others(self) -> None:
        """Forget all other entries, which are about to be told anew."""
        for instance, entries in list(self._shares.items()):
            if self.me in entries:
                self._shares[instance] = {self.me: entries[self.me]}
            else:
                del self._shares[instance]

    def change(
        self,
        instance: str,
        runs: int = 0,
        tokens: int = 0,
        reading: int = 0,
        receiving: int = 0,
    ) -> None:
        """Add to what this entry itself runs at a target."""
        share = self._shares[instance].setdefault(self.me, LoadShare())
        share.runs += runs
        share.tokens += tokens
        share.reading += reading
        share.receiving += receiving
        self.changed.set()

    def take_turn(self, instance: str, milliseconds: int) -> None:
        """Say how long this entry copies memory off a leaving target."""
        share = self._shares[instance].setdefault(self.me, LoadShare())
        share.turn = milliseconds
        self.changed.set()

    def note_copying(self, instance: str, copying: bool) -> None:
        """Say whether this entry copies memory off a target now."""
        share = self._shares[instance].setdefault(self.me, LoadShare())
        share.copying = copying
        self.changed.set()

    def avoid(self, instance: str, until: float) -> None:
        """Say that this entry sends nothing to a target for a while.

        :param instance: the target's
        :param until: in monotonic seconds
        """
        share = self._shares[instance].setdefault(self.me, LoadShare())
        share.avoiding, share.avoided_until = 1, until
        self.changed.set()

    def expire_avoiding(self, now: float) -> None:
        """Take back what this entry no longer avoids.

        :param now: monotonic seconds
        """
        for entries in self._shares.values():
            share = entries.get(self.me)
            if share is not None and now >= share.avoided_until:
                share.avoiding = 0

    def count_avoiding(self, instance: str, now: float) -> int:
        """Return how many entries send nothing to a target.

        :param instance: the target's
        :param now: monotonic seconds
        """
        count = 0
        for entry, share in self._shares.get(instance, {}).items():
            if entry == self.me:
                count += now < share.avoided_until
            elif now - share.heard < EXPIRY:
                count += share.avoiding
        return count

    def own(self) -> list[LoadRecord]:
        """Return what this entry runs, by target."""
        return [
            LoadRecord(self.me, instance, *entries[self.me].counts)
            for instance, entries in self._shares.items()
            if self.me in entries
        ]

    def total(self, instance: str, now: float) -> Load:
        """Return what runs at a target over all entries.

        :param instance: the target's
        :param now: monotonic seconds
        """
        runs = tokens = reading = receiving = 0
        for entry, share in self._shares.get(instance, {}).items():
            if entry == self.me or now - share.heard < EXPIRY:
                runs += share.runs
                tokens += share.tokens
                reading += share.reading
                receiving += share.receiving
        return Load(
            runs=runs,
            tokens=tokens,
            reading=reading,
            receiving=receiving,
        )

    def pending(self, instance: str, now: float) -> float:
        """Return what all entries have still to copy off a target.

        :param instance: the target's
        :param now: monotonic seconds
        :returns: seconds of its link, as if all went to other zones
        """
        milliseconds = sum(
            share.turn
            for entry, share in self._shares.get(instance, {}).items()
            if entry == self.me or now - share.heard < EXPIRY
        )
        return milliseconds / 1000

    def before(self, instance: str, now: float) -> int:
        """Return what is copied before this entry's turn.

        Entries go in the order of their names, but one that copies already
        is not interrupted.

        :param instance: the target's
        :param now: monotonic seconds
        :returns: milliseconds
        """
        return sum(
            share.turn
            for entry, share in self._shares.get(instance, {}).items()
            if (entry < self.me or entry != self.me and share.copying)
            and now - share.heard < EXPIRY
        )

    def drop_own(self, instance: str) -> None:
        """Drop this entry's count where it runs nothing any more."""
        entries = self._shares.get(instance, {})
        entries.pop(self.me, None)
        if not entries:
            self._shares.pop(instance, None)

    def forget(self, instance: str) -> None:
        """Drop what other entries run at a target that is gone."""
        own = self._shares.get(instance, {}).get(self.me)
        if own is None:
            self._shares.pop(instance, None)
        else:
            self._shares[instance] = {self.me: own}

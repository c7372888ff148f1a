"""Which entries callers may use."""

import attrs

from chivepier.gateway.messages import EntryBeat
from chivepier.types import Clock
from chivepier.wire import Channel

# Seconds after its last word for which an entry counts as alive. Entries
# speak every 0.3 s; a frozen or cut off one is left out after three misses.
ALIVE_SECONDS = 1.2
# Seconds after which an entry is forgotten, and its share of common budgets
# goes to the others.
KEPT_SECONDS = 20.0
# Seconds after its start in which a voter gives no addresses: entries come
# back one after the other, and the first would get every caller.
LEARNING_SECONDS = 0.35


@attrs.define
class _Entry:
    beat: EntryBeat
    channel: Channel
    heard: float


class EntryDirectory:
    """The entries that speak to this voter.

    :param clock: monotonic time
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started = clock.monotonic()
        self._entries: dict[str, _Entry] = {}

    def note(self, beat: EntryBeat, channel: Channel) -> bool:
        """Take an entry's word.

        :param beat: what it says of itself
        :param channel: where it is reached
        :returns: whether it is one that was not known
        """
        known = self._entries.get(beat.node)
        now = self._clock.monotonic()
        self._entries[beat.node] = _Entry(beat, channel, now)
        return known is None

    def addresses(self) -> list[str]:
        """Return where callers may connect, in no order.

        When no entry is heard, those heard last are better than none: it
        may be this voter that is cut off.

        :returns: addresses; empty while this voter is still learning
        """
        now = self._clock.monotonic()
        if now - self._started < LEARNING_SECONDS:
            return []
        ready = [e for e in self._entries.values() if e.beat.ready]
        alive = [e for e in ready if now - e.heard < ALIVE_SECONDS]
        return [entry.beat.address for entry in alive or ready]

    def channels(self, without: str = "") -> list[Channel]:
        """Return the links to entries, for what they are told at once.

        :param without: an entry that knows already
        """
        return [
            entry.channel
            for node, entry in self._entries.items()
            if node != without and not entry.channel.closed
        ]

    def count(self) -> int:
        """Return how many entries there are; one at least."""
        return max(1, len(self._entries))

    def forget(self) -> None:
        """Drop entries that have long been silent."""
        now = self._clock.monotonic()
        for node, entry in list(self._entries.items()):
            if now - entry.heard > KEPT_SECONDS:
                del self._entries[node]

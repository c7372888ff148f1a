"""Processor time per event of the check that each one passes.

``python packages/node/benchmarks/events.py`` compares the check of every
event with the one that looked at the first and last event of a buffer only,
and with parsing each event's JSON.  Times are trials; the ratios are ours.
"""

import json
import time

from chivepier.node.ssebuffer import SseBuffer

GENERATION = b"0123456789abcdef0123456789abcdef"
LABEL = b"x" * 120 + b"."
EVENTS = 60_000
ROUNDS = 5
END = b"\n\n"
MARK = b"\n\nid: "


class FirstAndLast:
    """The earlier check: a crossed event amid a buffer passes by index."""

    def __init__(self):
        self.following = 0

    def feed(self, whole: bytes) -> bytes:
        """Check and re-label whole events."""
        count = whole.count(END)
        marked = END + whole
        first, last = marked.find(MARK), marked.rfind(MARK)
        assert _index(marked, first) == self.following
        assert _index(marked, last) == self.following + count - 1
        name = b'"id":"' + GENERATION + b'"'
        assert whole.count(name) == count
        self.following += count
        return marked.replace(MARK, MARK + LABEL)[len(END) :]


class Parsed:
    """Every event's JSON parsed."""

    def __init__(self):
        self.following = 0

    def feed(self, whole: bytes) -> bytes:
        """Check and re-label whole events."""
        passed = []
        for event in whole.split(END)[:-1]:
            label, data = event.split(b"\n")
            assert int(label[4:]) == self.following
            plain = json.loads(data[6:])
            assert plain["id"].encode() == GENERATION
            self.following += 1
            passed.append(b"id: " + LABEL + label[4:] + b"\n" + data + END)
        return b"".join(passed)


def _index(marked: bytes, at: int) -> int:
    start = at + len(MARK)
    return int(marked[start : marked.find(b"\n", start)])


def make_buffers(size: int) -> list[bytes]:
    """Return buffers of so many events each."""
    events = []
    for index in range(EVENTS):
        data = {
            "id": GENERATION.decode(),
            "object": "completion",
            "created": 1,
            "model": "plain-english-8b",
            "choices": [{"index": 0, "text": "token ", "finish_reason": None}],
        }
        plain = json.dumps(data, separators=(",", ":")).encode()
        events.append(b"id: %d\ndata: %s\n\n" % (index, plain))
    return [b"".join(events[at : at + size]) for at in range(0, EVENTS, size)]


def measure(make, buffers: list[bytes]) -> float:
    """Return the least microseconds an event of some rounds."""
    times = []
    for _ in range(ROUNDS):
        buffer = make()
        began = time.process_time()
        for data in buffers:
            buffer.feed(data)
        times.append(time.process_time() - began)
    return min(times) / EVENTS * 1e6


def main() -> None:
    """Measure and print."""
    for size in (1, 4, 16):
        buffers = make_buffers(size)
        ours = measure(lambda: SseBuffer(LABEL, GENERATION), buffers)
        before = measure(FirstAndLast, buffers)
        parsed = measure(Parsed, buffers)
        print(
            f"{size} a buffer: each checked {ours:.2f} us, first and last"
            f" {before:.2f} us, parsed {parsed:.2f} us (trials); ratios"
            f" {ours / before:.2f} and {ours / parsed:.2f}"
        )


if __name__ == "__main__":
    main()

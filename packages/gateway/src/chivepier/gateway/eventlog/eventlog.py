"""One JSON object a line, bounded and never blocking."""

import collections
import collections.abc
import json
import os
import time
import typing

# Lines of one kind within a second; beyond that they are counted only. Ten
# times what a busy entry decides, so that it bounds bursts and not days.
MAX_LINES_PER_SECOND = 100
# Bytes that wait for a slow reader; more is dropped and counted.
MAX_BUFFERED_BYTES = 256 << 10
# Failures are the last to be left out.
WARNING_RESERVE_BYTES = 64 << 10


class EventLog:
    """Writes events to a descriptor that may stop taking them.

    A reader of standard output that has stopped fills the pipe; a blocking
    write would then hold up every stream of the process. The descriptor is
    set not to block, and what it does not take is kept to a bound.

    :param name: this node's, in each line
    :param handle: the descriptor; standard output by default
    :param read_time: returns seconds of the wall clock
    """

    def __init__(
        self,
        name: str,
        descriptor: int = 1,
        read_time: collections.abc.Callable[[], float] = time.time,
    ):
        self._read_time = read_time
        self._name = name
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._second = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the reader has not taken yet."""
        return self._buffered_bytes

    def info(self, event: str, **fields: typing.Any) -> None:
        """Write a decision that went as usual."""
        self._write("info", event, fields, MAX_BUFFERED_BYTES)

    def warn(self, event: str, **fields: typing.Any) -> None:
        """Write a refusal or a failure."""
        max_bytes = MAX_BUFFERED_BYTES + WARNING_RESERVE_BYTES
        self._write("warn", event, fields, max_bytes)

    def _write(
        self, level: str, event: str, fields: dict, max_bytes: int
    ) -> None:
        now = self._read_time()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._counts[event] += 1
        # also when this line is left out: a reader that goes on again would
        # else never get the rest
        self._flush()
        if (
            self._counts[event] > MAX_LINES_PER_SECOND
            or self._buffered_bytes > max_bytes
        ):
            self._suppressed[event] += 1
            return
        self._append(now, level, event, fields)
        self._flush()

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._counts.clear()
        if self._suppressed:
            suppressed = dict(self._suppressed)
            self._suppressed.clear()
            self._append(second, "warn", "lines_left_out", suppressed)

    def _append(
        self, now: float, level: str, event: str, fields: dict
    ) -> None:
        line = {
            "t": round(now, 3),
            "level": level,
            "node": self._name,
            "event": event,
        }
        for name, value in fields.items():
            # a field of the writer's own names would hide who wrote the line
            line[f"{name}_" if name in line else name] = value
        data = json.dumps(line, separators=(",", ":"), default=str)
        self._buffer.append(data.encode() + b"\n")
        self._buffered_bytes += len(data) + 1

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # nobody reads any more: there is no one to tell
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

"""A log of JSON lines that never blocks and has a bounded buffer."""

import collections
import collections.abc
import json
import os
import time
import typing

# Maximum lines of one event per second; the others are only counted. Ten times
# the rate of a busy entry, so it limits bursts but not normal operation.
MAX_LINES_PER_SECOND = 100
# Buffer size for a slow reader, in bytes; further lines are dropped and
# counted.
MAX_BUFFERED_BYTES = 256 << 10
# Additional buffer for warnings, in bytes, so that they are dropped last.
WARNING_RESERVE_BYTES = 64 << 10


class EventLog:
    """Writes events to a descriptor without waiting for its reader.

    If the reader of standard output stops, the pipe fills up, and a blocking
    write would stall every stream of the process. The descriptor is therefore
    non-blocking, and lines that it does not accept are buffered up to a limit.

    :param name: name of this node, written in each line
    :param descriptor: file descriptor; standard output by default
    :param read_time: returns the wall-clock time in seconds
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
        """Number of bytes not written to the descriptor yet."""
        return self._buffered_bytes

    def info(self, event: str, **fields: typing.Any) -> None:
        """Log a regular event."""
        self._write("info", event, fields, MAX_BUFFERED_BYTES)

    def warn(self, event: str, **fields: typing.Any) -> None:
        """Log a refusal or a failure."""
        max_bytes = MAX_BUFFERED_BYTES + WARNING_RESERVE_BYTES
        self._write("warn", event, fields, max_bytes)

    def _write(
        self, level: str, event: str, fields: dict, max_bytes: int
    ) -> None:
        now = self._read_time()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._counts[event] += 1
        # also if this line is dropped: otherwise a resumed reader would never
        # get the buffered lines
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
            # a field with a reserved name must not replace the node or time
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
                # the reader has closed the pipe
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

"""One JSON object a line, bounded and never blocking."""

import collections
import collections.abc
import json
import os
import time
import typing

# Lines of one kind within a second; beyond that they are counted only. Ten
# times what a busy entry decides, so that it bounds bursts and not days.
LINES_A_SECOND = 100
# Bytes that wait for a slow reader; more is dropped and counted.
MOST_WAITING = 256 << 10
# Failures are the last to be left out.
RESERVED_FOR_FAILURES = 64 << 10


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
        handle: int = 1,
        read_time: collections.abc.Callable[[], float] = time.time,
    ):
        self._read_time = read_time
        self._name = name
        self._handle = handle
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()
        self._second = 0
        os.set_blocking(handle, False)

    @property
    def waiting(self) -> int:
        """Bytes that the reader has not taken yet."""
        return self._size

    def info(self, event: str, **fields: typing.Any) -> None:
        """Write a decision that went as usual."""
        self._write("info", event, fields, MOST_WAITING)

    def warn(self, event: str, **fields: typing.Any) -> None:
        """Write a refusal or a failure."""
        most = MOST_WAITING + RESERVED_FOR_FAILURES
        self._write("warn", event, fields, most)

    def _write(self, level: str, event: str, fields: dict, most: int) -> None:
        now = self._read_time()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._counts[event] += 1
        # also when this line is left out: a reader that goes on again would
        # else never get the rest
        self._flush()
        if self._counts[event] > LINES_A_SECOND or self._size > most:
            self._left_out[event] += 1
            return
        self._append(now, level, event, fields)
        self._flush()

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._counts.clear()
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            self._append(second, "warn", "lines_left_out", left_out)

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
        self._waiting.append(data.encode() + b"\n")
        self._size += len(data) + 1

    def _flush(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._handle, data)
            except BlockingIOError:
                return
            except OSError:
                # nobody reads any more: there is no one to tell
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()

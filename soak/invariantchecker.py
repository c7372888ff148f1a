"""Invariants of the system, checked during the soak test."""

import aiohttp
import attrs

from soak.streamrecord import are_in_order
from soak.streamrecord import StreamRecord

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@attrs.define
class InvariantChecker:
    """Records requests at callers and targets, and finds violations.

    :param first_number: number of the first event of each stream
    :ivar erred: ids of requests that got an error in the place of a rest, or
        within their stream
    """

    first_number: int = 1
    erred: set[str] = attrs.field(factory=set)
    runs: dict[str, int] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    answered: int = 0
    failed: int = 0
    acknowledged: int = 0

    def record_run(self, identity: str) -> None:
        """Record that a target runs a request that must run once at most."""
        self.runs[identity] = self.runs.get(identity, 0) + 1
        if self.runs[identity] > 1:
            self.violations.append(f"{identity} ran twice")
        if identity in self.refused:
            self.violations.append(f"{identity} ran after it was refused")

    def record_answer(self, identity: str, status: int, body: bytes) -> None:
        """Record and check a complete answer to a caller."""
        if status in NOT_EXECUTED_STATUSES:
            self.failed += 1
            self.refused.add(identity)
            if identity in self.runs:
                self.violations.append(f"{identity} ran and was refused")
        elif status == 200:
            self.answered += 1
            if body != make_expected_body(identity):
                self.violations.append(f"{identity} got {body[:60]!r}")
        else:
            self.failed += 1
            if status in (401, 403, 404):
                self.violations.append(f"{identity} got {status}")

    def record_stream(self, identity: str, data: bytes, whole: bool) -> None:
        """Record and check the received part of a stream."""
        lines = data.decode(errors="replace").split("\n")
        numbers = [int(x[4:]) for x in lines if x.startswith("id: ")]
        if not are_in_order(numbers, self.first_number):
            self.violations.append(f"{identity} got events {numbers}")
        if whole and "data: end" not in lines:
            self.violations.append(f"{identity} ended early without an error")
        if whole:
            self.answered += 1

    def record_resumed(self, identity: str, record: StreamRecord) -> None:
        """Check what a caller got of a stream over all its attempts."""
        self.check_series(identity, record)
        if not are_in_order(record.numbers, record.first_number):
            self.violations.append(f"{identity} got events {record.numbers}")
        if len(record.versions) > 1:
            text = f"{identity} holds events of {sorted(record.versions)}"
            self.violations.append(text)
        if record.whole and not record.has_end:
            self.violations.append(f"{identity} ended early without an error")
        if record.whole:
            self.answered += 1
        else:
            self.failed += 1

    def check_series(self, identity: str, record: StreamRecord) -> None:
        """Check that a caller has the beginning of one series, or all of it.

        :param identity: id of the stream
        :param record: what the caller has
        """
        for foreign in record.foreign[:1]:
            text = f"{identity} holds foreign bytes {foreign[:60]!r}"
            self.violations.append(text)
        has_erred = not self.erred.isdisjoint(record.attempts)
        if has_erred and record.whole and not record.has_end:
            text = f"{identity} was told whole too early after an error"
            self.violations.append(text)

    def record_failure(
        self, identity: str, error: Exception, planned: bool
    ) -> None:
        """Record a request that ended without a complete answer.

        A request that an entry never read as its connection closed ran on no
        target. One that a target ran had been read by the entry, which had
        time to answer it before a planned stop.

        :param identity: the request's id
        :param error: the error that the caller got
        :param planned: whether its entry was being stopped without any other
            fault
        """
        self.failed += 1
        if isinstance(error, aiohttp.ClientResponseError):
            text = f"{identity} got no answer of HTTP: {error!r}"
            self.violations.append(text)
        if planned and identity in self.runs:
            self.violations.append(
                f"{identity} aborted by a planned stop: {error!r}"
            )

    def check_read(self, version: int, floor: int) -> None:
        """Check the version of a configuration that was read back.

        :param version: the version in the answer
        :param floor: highest version that was acknowledged long enough before
        """
        if version < floor:
            self.violations.append(f"read version {version} after {floor}")


def make_expected_body(identity: str) -> bytes:
    """Return the expected answer to a request."""
    return f"answer to {identity}".encode()

"""What must hold, checked while the soak runs."""

import attrs

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@attrs.define
class InvariantChecker:
    """Keeps what callers and targets see, and what contradicts a promise."""

    runs: dict[str, int] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    answered: int = 0
    failed: int = 0
    acknowledged: int = 0

    def record_run(self, identity: str) -> None:
        """Note that a target runs a request that may run once."""
        self.runs[identity] = self.runs.get(identity, 0) + 1
        if self.runs[identity] > 1:
            self.violations.append(f"{identity} ran twice")
        if identity in self.refused:
            self.violations.append(f"{identity} ran after it was refused")

    def record_answer(self, identity: str, status: int, body: bytes) -> None:
        """Note what a caller got as whole."""
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
        """Note what a caller got of a stream."""
        lines = data.decode(errors="replace").split("\n")
        numbers = [int(x[4:]) for x in lines if x.startswith("id: ")]
        if numbers != list(range(1, len(numbers) + 1)):
            self.violations.append(f"{identity} got events {numbers}")
        if whole and "data: end" not in lines:
            self.violations.append(f"{identity} ended early as whole")
        if whole:
            self.answered += 1

    def record_failure(
        self, identity: str, error: Exception, planned: bool
    ) -> None:
        """Note a request that ended without a whole answer.

        One that crossed the close of its connection ran nowhere; one that a
        target ran was read by the entry, which had time to answer it.

        :param identity: the request's
        :param error: what its caller saw
        :param planned: whether its entry was being stopped, with nothing
            else wrong
        """
        self.failed += 1
        if planned and identity in self.runs:
            self.violations.append(
                f"{identity} cut by a planned stop: {error!r}"
            )

    def check_read(self, version: int, floor: int) -> None:
        """Note a configuration that was read back.

        :param version: that was answered
        :param floor: highest one acknowledged long enough before
        """
        if version < floor:
            self.violations.append(f"read version {version} after {floor}")


def make_expected_body(identity: str) -> bytes:
    """Return the one right answer to a request."""
    return f"answer to {identity}".encode()

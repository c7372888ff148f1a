"""An answer whose connection is closed in order where others are reset."""

from chivepier.gateway.serving.tests.fakeengines import FakeAnswer


class ClosingAnswer(FakeAnswer):
    """The answer of a run that closes its stream as it is stopped."""

    def cut(self) -> None:
        """End the stream as a whole one without a length ends."""
        self.end()

"""How a target of the soak delimits streams, and where it breaks them off."""

import random

from aiohttp import web
import attrs

# Share of the streams without a length that end inside an event, by default.
BREAK_SHARE = 0.3


class CloseDelimitedResponse(web.StreamResponse):
    """An answer that has neither a length nor chunks and ends by a close."""

    # without this, the library adds chunks where no length is set
    _length_check = False

    def __init__(self, headers: dict[str, str], status: int = 200):
        super().__init__(status=status, headers=headers)
        self.force_close()


@attrs.define
class Framing:
    """Draws how streams are delimited, and where they are broken off.

    :param rng: random number generator of this target alone
    :param lengthless: whether bodies have neither a length nor chunks
    :param break_share: share of these that end inside an event
    :param early_every: number of streams of which one has no length and is
        closed in order after some of its events; 0 for none
    """

    rng: random.Random
    lengthless: bool = False
    break_share: float = BREAK_SHARE
    early_every: int = 0
    _begun: int = 0

    def draw_early_end(self, events: int) -> int | None:
        """Return the event after which a stream is closed, ``None`` for none.

        :param events: number of events of the whole stream
        """
        self._begun += 1
        if not self.early_every or self._begun % self.early_every:
            return None
        return self.rng.randint(1, events - 1)

    def make_response(
        self, headers: dict[str, str], early_end: int | None = None
    ) -> web.StreamResponse:
        """Return the answer of a stream.

        :param headers: headers of the answer
        :param early_end: the event after which it is closed, if it is
        """
        if self.lengthless or early_end is not None:
            return CloseDelimitedResponse(headers)
        return web.StreamResponse(headers=headers)

    def draw_break(self, events: int) -> int | None:
        """Return the event inside which a stream ends, ``None`` for none.

        :param events: number of events of the whole stream
        """
        if not self.lengthless or self.rng.random() >= self.break_share:
            return None
        return self.rng.randint(1, events)

    def cut_event(self, event: bytes) -> bytes:
        """Return the part of an event after which a stream is broken off."""
        return event[: self.rng.randint(0, len(event) - 1)] or event[:1]

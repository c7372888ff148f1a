"""One generation of the stand-in engine."""

import asyncio
import hashlib
import json
import re
import time

import attrs
import xxhash

from chivepier.standins.engine.memory import BLOCK_CHARS

LENGTH_MARK = re.compile(r"#length=(\d+)#")
CHARS_PER_TOKEN = 4
MEDIAN_SPREAD = 400


def digest_prompt(prompt: str) -> str:
    """Return what every token of an answer to this prompt begins with.

    >>> digest_prompt("a") == digest_prompt("a")
    True

    :param prompt: the prompt's text
    :returns: eight hexadecimal digits
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def choose_length(prompt: str, limit: int) -> int:
    """Choose an answer's length.

    :param prompt: may hold ``#length=N#``, for the load tool
    :param limit: the most tokens asked for
    :returns: tokens, at least 1
    """
    mark = LENGTH_MARK.search(prompt)
    if mark is not None:
        return max(1, min(limit, int(mark.group(1))))
    spread = int(digest_prompt(prompt), 16) % MEDIAN_SPREAD
    return max(1, min(limit, 1 + spread))


@attrs.define(eq=False, kw_only=True)
class Stream:
    """A generation: its tokens stay until it is forgotten."""

    generation: str
    model: str
    prompt: str
    chat: bool
    priority: int
    salt: str
    length: int
    limit: int
    arrived: float
    events: list[bytes] = attrs.field(factory=list)
    prefilled: int = 0
    attach: int = 0
    readers: int = 0
    cancelled: bool = False
    preemptions: int = 0
    orphaned: float | None = None
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)

    @property
    def tokens(self) -> int:
        """Tokens generated so far."""
        return len(self.events)

    @property
    def finished(self) -> bool:
        """Whether the last token is there."""
        return self.tokens >= self.length

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.finished or self.cancelled

    def hash_prefixes(self) -> tuple[int, ...]:
        """Hash the prompt's growing prefixes, salted."""
        digest = xxhash.xxh3_64(self.salt.encode())
        hashes = []
        for number in range(len(self.prompt) // BLOCK_CHARS):
            start = number * BLOCK_CHARS
            digest.update(self.prompt[start : start + BLOCK_CHARS].encode())
            hashes.append(digest.intdigest())
        return tuple(hashes)

    def add_token(self) -> None:
        """Generate the next token and wake the readers."""
        self.events.append(self._render(self.tokens))
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.grown.set()
        self.grown = asyncio.Event()

    def _render(self, index: int) -> bytes:
        text = f"{digest_prompt(self.prompt)}.{index} "
        reason = None
        if index == self.length - 1:
            reason = "length" if self.length == self.limit else "stop"
        choice: dict = {"index": 0, "finish_reason": reason}
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        data = {
            "id": self.generation,
            "object": "chat.completion.chunk" if self.chat else "completion",
            "created": int(time.time()),
            "model": self.model,
            "choices": [choice],
        }
        plain = json.dumps(data, separators=(",", ":"))
        return f"id: {index}\ndata: {plain}\n\n".encode()

"""A checked completion request."""

import attrs
import xxhash

from chivepier.node.prefixhash import shorten_hash
from chivepier.types import ErrorKind
from chivepier.types import RequestError

BLOCK_CHARS = 256
MAX_BLOCKS = 32
CHARS_PER_TOKEN = 4
MAX_PROMPT_CHARS = 4 << 20


@attrs.frozen(kw_only=True)
class Completion:
    """What a caller asks of a model; ``body`` is the parsed JSON."""

    template: str
    adapter: str
    stream: bool
    prompt: str
    max_tokens: int | None
    body: dict

    @property
    def prompt_tokens(self) -> int:
        """Estimated from the text; only the engine knows exactly."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)

    def hash_prefixes(self, team: str) -> tuple[int, ...]:
        """Hash growing prefixes of the prompt.

        Salted by team: one team can neither profit from nor find out what
        another has in an engine's cache.

        :param team: the team's name
        :returns: one hash of 32 bits per block, each covering all blocks
            before it
        """
        digest = xxhash.xxh3_64(team.encode())
        hashes = []
        blocks = min(MAX_BLOCKS, len(self.prompt) // BLOCK_CHARS)
        for number in range(blocks):
            start = number * BLOCK_CHARS
            block = self.prompt[start : start + BLOCK_CHARS]
            digest.update(block.encode())
            hashes.append(shorten_hash(digest.intdigest()))
        return tuple(hashes)


def parse_completion(body: object, chat: bool) -> Completion:
    """Check a caller's JSON.

    :param body: the parsed JSON
    :param chat: whether it came to the chat interface
    :returns: the typed request
    :raises RequestError: ``bad_request`` or ``too_large``
    """
    if not isinstance(body, dict):
        raise _bad("the body is not a JSON object")
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _bad("model is missing")
    template, _, adapter = model.partition(":")
    limit = body.get("max_tokens", body.get("max_completion_tokens"))
    if limit is not None:
        if type(limit) is not int or limit < 1:
            raise _bad("max_tokens is not a positive integer")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad("stream is not a boolean")
    if body.get("n", 1) != 1 or body.get("best_of", 1) != 1:
        raise _bad("only n=1 is served")
    prompt = _read_messages(body) if chat else _read_prompt(body)
    if len(prompt) > MAX_PROMPT_CHARS:
        text = f"the prompt has more than {MAX_PROMPT_CHARS} characters"
        raise RequestError.of(ErrorKind.TOO_LARGE, text)
    return Completion(
        template=template,
        adapter=adapter,
        stream=stream,
        prompt=prompt,
        max_tokens=limit,
        body=body,
    )


def _read_prompt(body: dict) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise _bad("prompt is not a string")
    return prompt


def _read_messages(body: dict) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad("messages is not a non-empty list")
    parts = []
    for message in messages:
        if not isinstance(message, dict):
            raise _bad("a message is not an object")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            raise _bad("a message needs role and content as strings")
        parts.append(f"{role}\n{content}\n")
    return "".join(parts)


def _bad(message: str) -> RequestError:
    return RequestError.of(ErrorKind.BAD_REQUEST, message)

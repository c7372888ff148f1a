"""A whole answer out of its events."""

import json

from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

DATA = b"\ndata: "


def join_events(events: bytes, chat: bool) -> dict:
    """Join the chunks of one generation.

    :param events: all events, in order, with ``[DONE]`` last
    :param chat: whether the chunks are of the chat interface
    :returns: the body of a whole answer
    :raises RequestError: ``target_failed`` when a chunk isn't one; it ran
    """
    try:
        return _join(events, chat)
    except (ValueError, LookupError, TypeError, AttributeError):
        text = "the engine sent a chunk of another form"
        kind = ErrorKind.TARGET_FAILED
        raise RequestError.of(kind, text, Ran.YES) from None


def _join(events: bytes, chat: bool) -> dict:
    text: list[str] = []
    last: dict = {}
    reason = None
    for event in events.split(b"\n\n"):
        # the first one only: a token's text may hold the same words
        data = event.partition(DATA)[2]
        if not data:
            continue
        last = json.loads(data)
        # a chunk that tells the usage has no choice
        for choice in last["choices"][:1]:
            text.append(_read_text(choice, chat))
            reason = choice.get("finish_reason") or reason
    return _build(last, "".join(text), reason, len(text), chat)


def _read_text(choice: dict, chat: bool) -> str:
    if chat:
        return choice.get("delta", {}).get("content") or ""
    return choice.get("text") or ""


def _build(
    last: dict, text: str, reason: str | None, count: int, chat: bool
) -> dict:
    choice: dict = {"index": 0, "finish_reason": reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": last.get("id"),
        "object": "chat.completion" if chat else "text_completion",
        "created": last.get("created"),
        "model": last.get("model"),
        "choices": [choice],
        "usage": last.get("usage") or {"completion_tokens": count},
    }

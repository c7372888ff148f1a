"""A whole answer out of its events."""

import json


def join_events(events: bytes, chat: bool) -> dict:
    """Join the chunks of one generation.

    :param events: all events, in order, with ``[DONE]`` last
    :param chat: whether the chunks are of the chat interface
    :returns: the body of a whole answer
    """
    text = []
    last: dict = {}
    reason = None
    count = 0
    for event in events.split(b"\n\n"):
        data = event.rpartition(b"data: ")[2]
        if not data or data == b"[DONE]":
            continue
        last = json.loads(data)
        choice = last["choices"][0]
        text.append(_read_text(choice, chat))
        reason = choice.get("finish_reason") or reason
        count += 1
    return _build(last, "".join(text), reason, count, chat)


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

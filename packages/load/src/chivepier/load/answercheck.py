"""Verifying one streamed answer."""

import hashlib
import json

import attrs

DONE = b"data: [DONE]"


@attrs.define
class AnswerCheck:
    """Checks that tokens come in order, once, from one generation.

    Every token of the stand-in engine begins with the digest of the prompt
    it answers, so an answer that belongs to another request shows.
    """

    prompt: str
    tokens: int = 0
    generation: str = ""
    last_id: str = ""
    done: bool = False
    error: dict | None = None
    problems: list[str] = attrs.field(factory=list)

    def take(self, event: bytes) -> None:
        """Check one event.

        :param event: its lines, without the blank line at the end
        """
        if event == DONE:
            self.done = True
            return
        fields = dict(
            line.split(b": ", 1) for line in event.split(b"\n") if line
        )
        data = json.loads(fields[b"data"])
        if "error" in data:
            self.error = data["error"]
            return
        self.last_id = fields[b"id"].decode()
        self._check_token(data)

    def _check_token(self, data: dict) -> None:
        choice = data["choices"][0]
        text = choice.get("text") or choice["delta"]["content"]
        expected = f"{digest(self.prompt)}.{self.tokens} "
        if text != expected:
            self.problems.append(f"token {text!r} instead of {expected!r}")
        index = self.last_id.rpartition(".")[2]
        if index != str(self.tokens):
            self.problems.append(f"id {index} instead of {self.tokens}")
        if self.generation and data["id"] != self.generation:
            self.problems.append("a second generation")
        self.generation = data["id"]
        self.tokens += 1


def digest(prompt: str) -> str:
    """Return what the stand-in's tokens begin with.

    :param prompt: the prompt
    :returns: eight hexadecimal digits
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]

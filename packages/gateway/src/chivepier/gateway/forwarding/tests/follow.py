"""What a target does where the rest of a stream is due."""

import attrs

from chivepier.gateway.forwarding.tests.restways import Kind

HTML = (("Content-Type", "text/html"),)
GZIP = (("Content-Encoding", "gzip"),)
NEXT_EVENT = "id: {next}\ndata: {next}\n\n"
TEXT = "upstream trouble"
TEXT_LINE = "upstream trouble\n\n"
JSON = '{{"error": "trouble"}}\n\n'
PAGE = "<html>\n\n<p>trouble</p>\n\n</html>\n"
ERROR_HEAD = "HTTP/1.1 500 Trouble\r\nContent-Length: 3\r\n\r\n"
ERROR_EVENT = "event: error\ndata: trouble\n\n"


@attrs.frozen(kw_only=True)
class Follow:
    """One answer, or none, of a target that is asked to go on.

    :param kind: what it is
    :param status: status of its head
    :param facts: facts in its head
    :param headers: header fields of its own
    :param text: its body, or what follows its events; ``{next}`` is the
        number of the next event, ``{last}`` that of the last one
    :param leads: the fewest events before that text
    """

    kind: Kind
    status: int = 200
    facts: dict = attrs.field(factory=dict)
    headers: tuple[tuple[str, str], ...] = ()
    text: str = ""
    leads: int = 0

    @property
    def has_series(self) -> bool:
        """Whether events may stand before its text."""
        return self.kind in (Kind.PIECE, Kind.CUT, Kind.CLOSES)


def _make_status(status: int, text: str) -> Follow:
    signed = text == NEXT_EVENT
    return Follow(
        kind=Kind.HEAD, status=status, facts={"signed": signed}, text=text
    )


def _make_head(text: str, headers: tuple = (), **facts) -> Follow:
    return Follow(kind=Kind.HEAD, facts=facts, headers=headers, text=text)


STATUSES = {
    f"{status}-{name}": _make_status(status, text)
    for status in (201, 202, 206, 302, 400, 404, 429, 500, 502, 503, 504)
    for name, text in (("empty", ""), ("text", TEXT), ("event", NEXT_EVENT))
}
HEADS = {
    "204": Follow(kind=Kind.HEAD, status=204),
    "unsigned-empty": _make_head("", signed=False),
    "unsigned-text": _make_head(TEXT, signed=False),
    "unsigned-event": _make_head(NEXT_EVENT, signed=False),
    "type-empty": _make_head("", HTML, may_be_events=False),
    "type-text": _make_head(PAGE, HTML, may_be_events=False),
    "type-event": _make_head(NEXT_EVENT, HTML, may_be_events=False),
    "coded": _make_head("\x1f\n\nx", GZIP, coded=True),
    "coded-event": _make_head(NEXT_EVENT, GZIP, coded=True),
    "other-request": _make_head(NEXT_EVENT, mismatched=True),
}
PIECES = {
    "text": TEXT,
    "text-line": TEXT_LINE,
    "json": JSON,
    "page": PAGE,
    "head": ERROR_HEAD,
    "head-and-body": ERROR_HEAD + "bad",
    "error-event": ERROR_EVENT,
    "unnumbered": "data: trouble\n\n",
    "no-number": "id: x\ndata: trouble\n\n",
}
FOLLOWS = {
    **STATUSES,
    **HEADS,
    **{
        f"series-{name}": Follow(kind=Kind.PIECE, text=text)
        for name, text in PIECES.items()
    },
    "series-backwards": Follow(
        kind=Kind.PIECE, text="id: {last}\ndata: trouble\n\n", leads=1
    ),
    "sound": Follow(kind=Kind.SOUND),
    "repeats": Follow(kind=Kind.REPEATS),
    "empty": Follow(kind=Kind.NOTHING),
    "cut": Follow(kind=Kind.CUT),
    "cut-inside": Follow(kind=Kind.CUT, text="id: {next}\nda"),
    "closes": Follow(kind=Kind.CLOSES),
    "closes-inside": Follow(kind=Kind.CLOSES, text="id: {next}\nda"),
    "refused": Follow(
        kind=Kind.REFUSED, status=503, facts={"not_run": True}, text=TEXT
    ),
    "misaddressed": Follow(
        kind=Kind.REFUSED, status=421, facts={"other_instance": "other"}
    ),
    "lost": Follow(kind=Kind.LOST),
    "unreachable": Follow(kind=Kind.UNREACHABLE),
}

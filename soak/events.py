"""The events that targets of the soak send as the series of a stream."""

EVENT_COUNT = 20
EVENT_END = b"\n\n"
EVENT_STREAM = {"Content-Type": "text/event-stream"}


def make_event(place: int, number: int, version: str) -> bytes:
    """Return an event.

    >>> make_event(20, 19, "v1")
    b'id: 19\\n: v1\\ndata: end\\n\\n'

    :param place: place in its series, from 1
    :param number: its number
    :param version: software version of the target that writes it
    """
    text = "end" if place == EVENT_COUNT else "part"
    return f"id: {number}\n: {version}\ndata: {text}\n\n".encode()


def is_begun_event(part: bytes, place: int, number: int) -> bool:
    """Tell whether bytes are an event, or the beginning of one.

    >>> is_begun_event(b"id: 1\\n: v3\\nda", 2, 1)
    True
    >>> is_begun_event(b"id: 1\\n: v3\\noops", 2, 1)
    False

    :param part: the bytes, of any software version
    :param place: place in its series, from 1
    :param number: its number
    """
    before, _, after = make_event(place, number, "v").partition(b"\n: v")
    before += b"\n: v"
    if not part.startswith(before):
        return before.startswith(part)
    return after.startswith(part[len(before) :].lstrip(b"0123456789"))

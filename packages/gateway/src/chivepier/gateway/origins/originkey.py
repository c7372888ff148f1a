"""The identity of a stream over all attempts of its caller."""

import attrs


def _make_encodable(text: str) -> str:
    # headers may hold bytes that are no UTF-8, which no message can hold
    return text.encode(errors="backslashreplace").decode()


@attrs.frozen
class OriginKey:
    r"""Identifies a stream over all attempts of its caller.

    >>> OriginKey("t1", "caf\xe9 \udcff").attempt == "caf\xe9 \\udcff"
    True

    :param team: team of the caller, empty if it has none; another team's
        stream is another one, whatever its attempts are called
    :param attempt: id of the attempt that brought the first event; for callers
        that do not name it, what is the same for identical requests
    """

    team: str = attrs.field(converter=_make_encodable)
    attempt: str = attrs.field(converter=_make_encodable)

"""The answer to a committed command."""

import attrs


@attrs.frozen
class Answer:
    """``error`` is an error kind's value, empty on success.

    ``index`` is where the command was committed first; a resend gets the
    same answer again.  ``result`` is CBOR, by command.
    """

    error: str
    message: str
    index: int
    result: bytes = b""

"""When a caller may be told that its stream is whole, from the pages alone.

"Ends of bodies" and "What goes on with a stream" in
``docs/design/requests.md``.
"""

from chivepier.gateway.forwarding.tests.restsend import RestSend
from chivepier.gateway.forwarding.tests.restways import Kind


def may_seem_whole(sends: list[RestSend]) -> bool:
    """Tell whether an end may be told as whole though events are missing.

    There are two exceptions. "A target that lives may have closed early,
    between two events: its word is true, and the connection can't tell." And
    "200, all of that, an empty framed body: nothing more follows; a target
    says so in no other way", also after numbers that its caller has.

    After an end of a word, or an order to stop, a body without an event is a
    second end: "as between two events, nothing followed".

    :param sends: what each target did that was asked, in order
    """
    has_word = has_part = says_nothing = False
    for send in sends:
        says_nothing = False
        if send.kind in (Kind.REFUSED, Kind.LOST, Kind.UNREACHABLE):
            # "no answer within 1 s, or none but refusals, and the word stands"
            continue
        if send.new_events:
            has_word = has_part = False
        if send.part:
            has_word, has_part = False, True
        if send.kind in (Kind.HEAD, Kind.PIECE):
            has_word = False
        elif send.orderly and send.framed:
            says_nothing = not has_part
        elif send.ends_between and not has_part:
            has_word = True
    return has_word or says_nothing

"""What a caller may be told of an end, written from the pages alone.

"Ends of bodies" in ``docs/design/requests.md``: what is not known is not told
as known.
"""

from chivepier.gateway.serving.tests.endcell import EndCell
from chivepier.gateway.serving.tests.endways import Check
from chivepier.gateway.serving.tests.endways import Entry
from chivepier.gateway.serving.tests.endways import Path
from chivepier.gateway.serving.tests.endways import Place
from chivepier.gateway.serving.tests.endways import Reply
from chivepier.gateway.serving.tests.endways import Told

# Ways of the next target in which it answers what follows.
ANSWERING = (Check.TELLS, Check.UNEARNED)


def tell_expected(cell: EndCell, check: Check = Check.TELLS) -> Told:
    """Return what the caller is to be told.

    :param cell: how the answer ends
    :param check: what the next target does
    """
    if cell.ends_as_framed:
        return Told.WHOLE
    if _is_given_up(cell):
        return Told.RESUMED
    if not cell.needs_word or not has_word_in_time(cell):
        told = _tell_not_known(cell)
        if told is Told.RESUMED and check not in ANSWERING:
            # its attempts are over, and the stream has begun
            return Told.BROKEN
        return told
    if cell.path is not Path.RESUMABLE or not cell.streams:
        return Told.WHOLE
    if cell.entry is Entry.SLEPT:
        # the word came too late for another target to be asked as well
        return Told.WHOLE
    # its sender lives, but may have closed early: the next target is asked
    match check:
        case Check.TELLS:
            return Told.RESUMED
        case Check.PART:
            return Told.BROKEN
        case _:
            return Told.WHOLE


def has_word_in_time(cell: EndCell) -> bool:
    """Tell whether its sender says, when asked, that it outlived the end."""
    if cell.reply is Reply.AGAIN:
        # the entry stood still for longer than it asks again
        return cell.entry is Entry.AWAKE
    return cell.reply.is_word


def _is_given_up(cell: EndCell) -> bool:
    """Tell whether what is read whole is sent again before the word comes.

    The entry has stood still twice, which takes longer with the slow word
    than an attempt may take that can be repeated.
    """
    stood_still = cell.entry is Entry.SLEPT and cell.needs_word
    is_repeated = cell.path.may_run_again and not cell.streams
    return is_repeated and stood_still and cell.reply is Reply.SLOW


def _tell_not_known(cell: EndCell) -> Told:
    if cell.path.may_run_again:
        return Told.RESUMED
    has_begun = cell.streams and (
        cell.place in (Place.WITHIN, Place.BETWEEN, Place.AFTER_LAST)
    )
    return Told.BROKEN if has_begun else Told.ERROR

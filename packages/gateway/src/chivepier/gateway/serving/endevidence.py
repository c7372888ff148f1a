"""What is known of a target after one of its answers ended."""

import attrs

from chivepier.gateway.serving.identity import Identity


@attrs.frozen
class EndEvidence:
    """Who answered at a target's address after the end of an answer.

    >>> EndEvidence(Identity.UNKNOWN, 4, 0.8).is_vouched
    False

    :param identity: the process that answered the last question
    :param questions: number of questions, those that could not be asked too
    :param seconds: time from the end until that was known
    :param leaving: whether it was leaving, as far as was known then
    """

    identity: Identity
    questions: int
    seconds: float
    leaving: bool = False

    @property
    def is_vouched(self) -> bool:
        """Whether the incarnation that sent the answer outlived its end.

        Only its own word tells: a connection that is not known to have ended,
        or a listener at its address, says nothing of the time after the end.
        """
        return self.identity is Identity.SAME

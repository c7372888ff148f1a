"""Log lines of elections: who stands, and who refuses whom and why."""

import logbook

from chivepier.state.ballot import Ballot

log = logbook.Logger("state")

# Candidates of which the last refusal is kept.
MAX_REFUSED = 8


class ElectionLog:
    """Writes a line when it differs from the last one of its kind.

    A voter that nobody elects stands every second or two, for as long as it
    is cut off.

    :ivar answers: of the last ballot, by voter
    :ivar refusals: the last reason, by candidate
    """

    def __init__(self) -> None:
        self._last_ballot: Ballot | None = None
        self._last_refusal: tuple[str, str] = ("", "")
        self.answers: dict[str, str] = {}
        self.refusals: dict[str, str] = {}

    def write_ballot(self, ballot: Ballot) -> None:
        """Note how the voters answered a candidate.

        :param ballot: what it asked for, and the answers
        """
        self.answers = ballot.answers
        if not ballot.is_won and ballot == self._last_ballot:
            return
        self._last_ballot = ballot
        log.info(
            "stood won={} pre={} term={} answers={} log={}/{} voters={}",
            ballot.is_won,
            ballot.is_pre,
            ballot.term,
            ballot.answers,
            ballot.last_term,
            ballot.last_index,
            ",".join(ballot.voters),
        )

    def write_refusal(self, candidate: str, term: int, reason: str) -> None:
        """Note that this voter refused a candidate.

        :param candidate: its identity
        :param term: the term that it asked a vote for
        :param reason: why
        """
        self.refusals.pop(candidate, None)
        self.refusals[candidate] = reason
        if len(self.refusals) > MAX_REFUSED:
            del self.refusals[next(iter(self.refusals))]
        if (candidate, reason) == self._last_refusal:
            return
        self._last_refusal = (candidate, reason)
        log.info(
            "refused candidate={} reason={} term={}", candidate, reason, term
        )

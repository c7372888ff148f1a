"""The ledger of non-idempotent requests."""

import collections
import collections.abc

import attrs
import cbor2

from chivepier.messages import ClaimCommand
from chivepier.messages import ClaimState
from chivepier.messages import Member
from chivepier.messages import Outcome
from chivepier.messages import OutcomeCommand
from chivepier.state.answer import Answer
from chivepier.state.claim import Claim
from chivepier.types import ErrorKind

CLAIM_SECONDS = 24 * 3600
KEPT_CLAIMS = 50_000
KEPT_PER_TEAM = 20_000
KEPT_BYTES = 16 << 20

Key = tuple[str, str]
Members = collections.abc.Mapping[str, Member]


class Claims:
    """Who may dispatch a key's request, and how it ended.

    Part of the replicated state: every voter that applies the same commands
    gives the same answers.  A key is claimed at most once unless its claim
    was released, that is, proven not to have run.
    """

    def __init__(self) -> None:
        self._claims: dict[Key, Claim] = {}
        self._bodies: collections.OrderedDict[Key, int] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._times: dict[str, int] = {}
        self._teams: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._claims)

    def __getitem__(self, key: Key) -> Claim:
        return self._claims[key]

    def claim(
        self, command: ClaimCommand, index: int, members: Members
    ) -> Answer:
        """Claim a key, or say why it can't be claimed.

        :param command: the claimer's command
        :param index: the command's place in the log
        :param members: the members at this index
        :returns: no error and no result: claimed; no error and a result: the
            stored outcome; else an error kind
        """
        self._forget(command, members)
        key = (command.team, command.key)
        known = self._claims.get(key)
        if known is None and self._full(command.team):
            # an older claim isn't dropped for it: its key would run again
            text = "too many keys were used within a day"
            return Answer(ErrorKind.OVERLOADED.value, text, index)
        if known is None or self._reopens(known, command):
            self._drop(key)
            self._add(key, _open(command))
            return Answer("", "", index)
        if known.request == command.request:
            return self._answer_again(known, index)
        if known.digest != command.digest:
            text = "the key was used for another request"
            return Answer(ErrorKind.KEY_REUSED.value, text, index)
        if known.state == ClaimState.CLAIMED and _abandoned(known, members):
            # nobody is left to tell its outcome: without this a resend
            # would be told "in progress" for ever
            known = attrs.evolve(known, state=ClaimState.UNKNOWN)
            self._claims[key] = known
        return _answer(known, index)

    def _full(self, team: str) -> bool:
        full = len(self._claims) >= KEPT_CLAIMS
        return full or self._teams[team] >= KEPT_PER_TEAM

    def _add(self, key: Key, claim: Claim) -> None:
        self._claims[key] = claim
        self._teams[key[0]] += 1

    def _reopens(self, known: Claim, command: ClaimCommand) -> bool:
        # a claim that was released and then comes once more is a duplicate
        # that was late on a link; whoever sent it has given it up
        released = known.state == ClaimState.RELEASED
        return released and known.request != command.request

    def _answer_again(self, known: Claim, index: int) -> Answer:
        if known.state == ClaimState.RELEASED:
            text = "the claim was withdrawn"
            return Answer(ErrorKind.IN_PROGRESS.value, text, index)
        # the claimer's own resend after a lost answer
        return Answer("", "", index)

    def settle(self, command: OutcomeCommand, index: int) -> Answer:
        """Store how a claimed request ended.

        A command of an earlier claimer changes nothing: a late release would
        otherwise open a key whose request runs now.

        :param command: the claimer's command
        :param index: the command's place in the log
        :returns: an empty answer
        """
        key = (command.team, command.key)
        known = self._claims.get(key)
        open_states = (ClaimState.CLAIMED, ClaimState.UNKNOWN)
        if known is None or known.request != command.request:
            return Answer("", "", index)
        if known.state in open_states:
            outcome = command.outcome
            self._claims[key] = attrs.evolve(
                known, state=outcome.state, outcome=outcome
            )
            self._keep_body(key, len(outcome.body))
        return Answer("", "", index)

    def _keep_body(self, key: Key, size: int) -> None:
        self._bytes += size
        self._bodies[key] = size
        while self._bytes > KEPT_BYTES:
            oldest, size = self._bodies.popitem(last=False)
            self._bytes -= size
            claim = self._claims[oldest]
            stripped = Outcome(claim.outcome.state, 0, (), b"")
            self._claims[oldest] = attrs.evolve(claim, outcome=stripped)

    def _drop(self, key: Key) -> None:
        if self._claims.pop(key, None) is None:
            return
        self._bytes -= self._bodies.pop(key, 0)
        self._teams[key[0]] -= 1
        if not self._teams[key[0]]:
            del self._teams[key[0]]

    def _forget(self, command: ClaimCommand, members: Members) -> None:
        """Drop claims that are old by two claimers' clocks.

        By one clock alone, an instance whose wall clock steps ahead by a day
        would empty the ledger, and a resend would run again.
        """
        self._times = {n: t for n, t in self._times.items() if n in members}
        self._times[command.node] = command.claimed_at
        trusted = sorted(self._times.values())[-2:]
        if len(trusted) == 1 and len(members) > 1:
            return
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].claimed_at + CLAIM_SECONDS > trusted[0]:
                return
            self._drop(key)

    def dump(self) -> dict:
        """Return plain values for a snapshot."""
        return {
            "claims": [
                (key, attrs.astuple(c)) for key, c in self._claims.items()
            ],
            "bodies": list(self._bodies),
            "times": self._times,
        }

    def load(self, fields: dict) -> None:
        """Replace the ledger by what :meth:`dump` gave.

        :param fields: plain values; empty for a node that holds no claims
        """
        claims = fields.get("claims", [])
        self._claims = {tuple(k): _load_claim(c) for k, c in claims}
        self._teams = collections.Counter(team for team, _ in self._claims)
        self._bodies = collections.OrderedDict(
            (key, len(self._claims[key].outcome.body))
            for key in map(tuple, fields.get("bodies", []))
        )
        self._bytes = sum(self._bodies.values())
        self._times = dict(fields.get("times", {}))


def _open(command: ClaimCommand) -> Claim:
    return Claim(
        command.digest,
        command.request,
        command.node,
        command.incarnation,
        command.claimed_at,
        ClaimState.CLAIMED,
    )


def _abandoned(claim: Claim, members: Members) -> bool:
    member = members.get(claim.node)
    return member is None or member.incarnation != claim.incarnation


def _answer(claim: Claim, index: int) -> Answer:
    if claim.state == ClaimState.DONE:
        result = cbor2.dumps(attrs.astuple(claim.outcome))
        return Answer("", "", index, result)
    if claim.state == ClaimState.UNKNOWN:
        text = "it was dispatched; its outcome is not known"
        return Answer(ErrorKind.OUTCOME_UNKNOWN.value, text, index)
    text = "the same request is in progress"
    return Answer(ErrorKind.IN_PROGRESS.value, text, index)


def _load_claim(fields: list) -> Claim:
    *plain, outcome = fields
    if outcome is None:
        return Claim(*plain)
    state, status, headers, body = outcome
    pairs = tuple((name, value) for name, value in headers)
    return Claim(*plain, Outcome(state, status, pairs, body))

"""The ledger against resends, duplicates, lost claimers and clocks."""

import cbor2
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chivepier.messages import ClaimCommand
from chivepier.messages import ClaimState
from chivepier.messages import Member
from chivepier.messages import Outcome
from chivepier.messages import OutcomeCommand
from chivepier.state import claims as module
from chivepier.state.claims import Claims

DAY = module.CLAIM_SECONDS
DONE = Outcome(ClaimState.DONE, 200, (("Content-Type", "text/plain"),), b"ok")
RELEASED = Outcome(ClaimState.RELEASED, 0, (), b"")


def make_member(node: str, incarnation: int = 1) -> Member:
    return Member(node, incarnation, node, "r", "a", "", "", False)


MEMBERS = {node: make_member(node) for node in ("a", "b")}


def make_claim(request: str, **changes) -> ClaimCommand:
    fields = {
        "team": "t",
        "key": "k",
        "digest": b"d",
        "node": "a",
        "incarnation": 1,
        "claimed_at": 0,
    }
    return ClaimCommand(request=request, **{**fields, **changes})


def settle(claims: Claims, request: str, outcome: Outcome) -> None:
    claims.settle(OutcomeCommand("t", "k", request, outcome), 1)


def test_a_resend_gets_the_stored_outcome():
    claims = Claims()
    assert claims.claim(make_claim("r1"), 1, MEMBERS).error == ""
    again = claims.claim(make_claim("r2", node="b"), 2, MEMBERS)
    assert again.error == "in_progress"
    settle(claims, "r1", DONE)
    answer = claims.claim(make_claim("r3", node="b"), 3, MEMBERS)
    assert answer.error == "" and cbor2.loads(answer.result)[3] == b"ok"


def test_another_body_under_the_same_key_is_told():
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    answer = claims.claim(make_claim("r2", digest=b"e"), 2, MEMBERS)
    assert answer.error == "key_reused"


def test_a_claim_whose_claimer_is_gone_becomes_unknown():
    """The entry dies between claim and outcome; the caller sends again.

    Without the check a resend is told "in progress" for as long as the
    ledger lasts; running it again could write a case record twice.
    """
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    restarted = {"a": make_member("a", 2), "b": make_member("b")}
    answer = claims.claim(make_claim("r2", node="b"), 2, restarted)
    assert answer.error == "outcome_unknown"
    # it was only paused, and tells the outcome after all
    settle(claims, "r1", DONE)
    answer = claims.claim(make_claim("r3", node="b"), 3, restarted)
    assert answer.error == "" and answer.result


def test_without_the_check_of_claimers_a_key_stays_in_progress(monkeypatch):
    """The safeguard off: no resend ever learns more."""
    monkeypatch.setattr(module, "_abandoned", lambda *_: False)
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    gone = {"b": make_member("b")}
    answer = claims.claim(make_claim("r2", node="b"), 2, gone)
    assert answer.error == "in_progress"


def test_a_late_release_does_not_open_a_running_key():
    """Request r1 is refused and released; r2 claims the key and runs.

    Then r1's release arrives once more, late on a link.  If it released
    r2's claim, a third resend would run beside r2.
    """
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    settle(claims, "r1", RELEASED)
    assert claims.claim(make_claim("r2"), 2, MEMBERS).error == ""
    settle(claims, "r1", RELEASED)
    assert claims.claim(make_claim("r3"), 3, MEMBERS).error == "in_progress"


def test_a_late_duplicate_does_not_claim_again():
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    settle(claims, "r1", RELEASED)
    assert claims.claim(make_claim("r1"), 2, MEMBERS).error == "in_progress"
    assert claims.claim(make_claim("r2"), 3, MEMBERS).error == ""


def test_one_clock_that_steps_ahead_does_not_empty_the_ledger():
    """Instance b's wall clock steps two days ahead, and b claims a key.

    By its time alone every claim of today would be forgotten, and a resend
    of a request that ran would run again.
    """
    claims = Claims()
    claims.claim(make_claim("r1"), 1, MEMBERS)
    settle(claims, "r1", DONE)
    ahead = make_claim("r2", key="other", node="b", claimed_at=2 * DAY)
    claims.claim(ahead, 2, MEMBERS)
    assert claims.claim(make_claim("r3"), 3, MEMBERS).result
    claims.claim(make_claim("r4", key="x", claimed_at=DAY), 4, MEMBERS)
    late = make_claim("r5", claimed_at=DAY)
    assert claims.claim(late, 5, MEMBERS).result == b""


def test_a_full_ledger_refuses_and_forgets_nothing(monkeypatch):
    monkeypatch.setattr(module, "KEPT_PER_TEAM", 2)
    claims = Claims()
    for number in range(2):
        command = make_claim(f"r{number}", key=f"k{number}")
        assert claims.claim(command, number, MEMBERS).error == ""
    refused = claims.claim(make_claim("r3"), 3, MEMBERS)
    assert refused.error == "overloaded"
    other = make_claim("r4", team="u")
    assert claims.claim(other, 4, MEMBERS).error == ""
    again = claims.claim(make_claim("r5", key="k0"), 5, MEMBERS)
    assert again.error == "in_progress"


def test_old_bodies_are_dropped_and_not_the_fact_that_it_ran(monkeypatch):
    monkeypatch.setattr(module, "KEPT_BYTES", 3)
    claims = Claims()
    for key in ("k", "l"):
        claims.claim(make_claim(key, key=key), 1, MEMBERS)
        claims.settle(OutcomeCommand("t", key, key, DONE), 1)
    first = cbor2.loads(claims.claim(make_claim("x"), 2, MEMBERS).result)
    assert first[1] == 0 and first[3] == b""
    copy = Claims()
    copy.load(cbor2.loads(cbor2.dumps(claims.dump())))
    assert copy.dump() == claims.dump()


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Requests for two keys, with duplicates and lost claimers.

    A request that got its claim may run once; nothing else runs.
    """

    def __init__(self):
        super().__init__()
        self.claims = Claims()
        self.members = dict(MEMBERS)
        self.sent = []
        self.ran = {}
        self.number = 0

    @stateful.rule(
        key=strategies.sampled_from("kl"), node=strategies.sampled_from("ab")
    )
    def send(self, key, node):
        self.number += 1
        incarnation = self.members[node].incarnation
        command = make_claim(
            f"r{self.number}", key=key, node=node, incarnation=incarnation
        )
        self.sent.append(command)
        answer = self.claims.claim(command, self.number, self.members)
        if not answer.error and not answer.result:
            self.ran.setdefault(key, []).append(command.request)

    @stateful.rule(data=strategies.data())
    def deliver_again(self, data):
        if self.sent:
            command = data.draw(strategies.sampled_from(self.sent))
            self.claims.claim(command, 0, self.members)

    @stateful.rule(
        data=strategies.data(), outcome=strategies.sampled_from((0, 1))
    )
    def end(self, data, outcome):
        if self.sent:
            command = data.draw(strategies.sampled_from(self.sent))
            running = self.ran.get(command.key, [])
            if command.request not in running:
                return
            if outcome:
                running.remove(command.request)
            ending = RELEASED if outcome else DONE
            order = OutcomeCommand("t", command.key, command.request, ending)
            self.claims.settle(order, 0)

    @stateful.rule(node=strategies.sampled_from("ab"))
    def restart(self, node):
        number = self.members[node].incarnation + 1
        self.members[node] = make_member(node, number)

    @stateful.rule()
    def restore(self):
        dump = cbor2.loads(cbor2.dumps(self.claims.dump()))
        self.claims = Claims()
        self.claims.load(dump)

    @stateful.invariant()
    def no_key_runs_twice(self):
        assert all(len(running) <= 1 for running in self.ran.values())


LedgerMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None
)
TestLedger = LedgerMachine.TestCase


def test_the_checker_finds_a_ledger_without_the_request_check(monkeypatch):
    """The safeguard off: a release opens whatever claim stands."""

    def settle_any(self, command, index):
        self._claims.pop((command.team, command.key), None)

    monkeypatch.setattr(Claims, "settle", settle_any)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            LedgerMachine,
            settings=hypothesis.settings(
                derandomize=True,
                max_examples=200,
                deadline=None,
                phases=(hypothesis.Phase.generate,),
            ),
        )

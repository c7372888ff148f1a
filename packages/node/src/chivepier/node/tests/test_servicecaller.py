"""Calls to plain services that may, or may not, run twice."""

import asyncio

import multidict
import pytest

from chivepier.documents import RouteRule
from chivepier.node.claimed import run_claimed
from chivepier.node.dispatchguard import DispatchGuard
from chivepier.node.routes import is_idempotent
from chivepier.node.servicecall import ServiceCall
from chivepier.node.servicecaller import ServiceCaller
from chivepier.node.tests.fakeentry import make_entry
from chivepier.node.tests.fakeentry import make_service
from chivepier.node.tests.fakeservice import FakeService
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import TargetKind


def make_call(method="POST", idempotent=False, key=None):
    return ServiceCall(
        method=method,
        path="/records/1%2F2",
        query="a=b%26c",
        headers=multidict.CIMultiDict({"Accept-Encoding": "identity"}),
        body=b"{}",
        idempotent=idempotent,
        key=key,
    )


def make_caller(entry, *args, **options):
    service = make_service(kind=TargetKind.SERVICE)
    return ServiceCaller(entry, service, make_call(*args, **options))


def run(work):
    async def play():
        async with FakeService() as first, FakeService() as second:
            async with make_entry(first.address, second.address) as entry:
                await work(entry, first, second)

    asyncio.run(play())


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "PATCH"])
def test_a_lost_answer_is_not_asked_for_again(method):
    """The service writes the record, then its connection is lost.

    For PUT and DELETE the HTTP library sends the request again by itself:
    without the guard the record is written twice, on one target.
    """

    async def work(entry, first, second):
        first.drop = 1
        with pytest.raises(RequestError) as caught:
            await make_caller(entry, method).run()
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert len(first.runs) == 1 and not second.runs

    run(work)


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_without_the_guard_the_library_sends_it_twice(method, monkeypatch):
    """The safeguard off: why it is there."""

    async def pass_on(self, request, handler):
        return await handler(request)

    monkeypatch.setattr(DispatchGuard, "__call__", pass_on)

    async def work(entry, first, second):
        first.drop = 1
        assert (await make_caller(entry, method).run()).status == 200
        assert len(first.runs) == 2

    run(work)


def test_an_idempotent_call_goes_to_another_target():
    async def work(entry, first, second):
        first.drop = 9
        outcome = await make_caller(entry, "GET", idempotent=True).run()
        assert outcome.status == 200
        assert len(first.runs) == 1 and len(second.runs) == 1

    run(work)


def test_a_refused_connection_proves_that_it_did_not_run():
    async def work(entry, first, second):
        await first.stop()
        assert (await make_caller(entry).run()).status == 200
        await second.stop()
        with pytest.raises(RequestError) as caught:
            await make_caller(entry, "PUT").run()
        assert caught.value.failure.ran is Ran.NO

    run(work)


def test_a_target_that_says_it_did_not_run_is_passed_by():
    async def work(entry, first, second):
        first.refuse = True
        assert (await make_caller(entry).run()).status == 200
        assert len(second.runs) == 1

    run(work)


def test_path_and_query_arrive_as_they_were_sent():
    async def work(entry, first, second):
        await make_caller(entry).run()
        assert first.runs == [("POST", "/records/1%2F2?a=b%26c")]

    run(work)


def test_a_redirect_is_passed_on_and_not_followed():
    """Followed, one answer of a service makes the entry call any address."""

    async def work(entry, first, second):
        first.status = 307
        first.headers = {"Location": f"http://{second.address}/other"}
        outcome = await make_caller(entry).run()
        assert outcome.status == 307 and not second.runs

    run(work)


async def claim_and_run(entry, key, digest=b"d"):
    caller = make_caller(entry, key=key)
    return await run_claimed(entry, "t", key, digest, caller.run)


def test_a_resend_gets_the_stored_answer():
    async def work(entry, first, second):
        answer = await claim_and_run(entry, "k")
        again = await claim_and_run(entry, "k")
        assert answer.body == again.body == b"run 1"
        assert again.headers["Idempotency-Replayed"] == "true"
        assert again.content_type == answer.content_type == "text/plain"
        assert len(first.runs) == 1

    run(work)


def test_a_resend_after_a_lost_answer_never_runs_again():
    async def work(entry, first, second):
        first.drop = 1
        with pytest.raises(RequestError) as caught:
            await claim_and_run(entry, "k")
        assert caught.value.failure.ran is Ran.UNKNOWN
        with pytest.raises(RequestError) as caught:
            await claim_and_run(entry, "k")
        assert caught.value.failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert caught.value.failure.ran is Ran.UNKNOWN
        assert len(first.runs) == 1 and not second.runs

    run(work)


def test_a_claim_that_provably_did_not_run_is_released():
    async def work(entry, first, second):
        await first.stop()
        entry.permits.addresses = [first.address]
        with pytest.raises(RequestError) as caught:
            await claim_and_run(entry, "k")
        assert caught.value.failure.ran is Ran.NO
        entry.permits.addresses = [second.address]
        assert (await claim_and_run(entry, "k")).body == b"run 1"

    run(work)


def test_nothing_is_dispatched_before_the_claim_is_durable():
    async def work(entry, first, second):
        entry.commander.down = True
        with pytest.raises(RequestError) as caught:
            await claim_and_run(entry, "k")
        assert caught.value.failure.kind is ErrorKind.NO_QUORUM
        assert caught.value.failure.ran is Ran.NO
        assert not first.runs

    run(work)


def test_the_claim_is_made_before_the_call_and_settled_after():
    async def work(entry, first, second):
        await claim_and_run(entry, "k")
        names = [type(c).__name__ for c in entry.commander.commands]
        assert names == ["ClaimCommand", "OutcomeCommand"]

    run(work)


def test_a_caller_that_leaves_does_not_cut_off_its_call():
    """The caller goes while the service works; its resend finds the answer.

    Cut off, the outcome would be unknown for ever.
    """

    async def work(entry, first, second):
        task = asyncio.create_task(claim_and_run(entry, "k"))
        while not entry.permits.inflight:
            await asyncio.sleep(0)
        task.cancel()
        await entry.background.join()
        assert (await claim_and_run(entry, "k")).body == b"run 1"
        assert len(first.runs) == 1

    run(work)


def test_route_rules_decide_before_the_method():
    rules = (
        RouteRule(path="/records", methods=("POST",), idempotent=True),
        RouteRule(path="/records/locked", idempotent=False),
    )
    assert is_idempotent(rules, "POST", "/records")
    assert not is_idempotent(rules, "POST", "/records-of-others")
    assert not is_idempotent(rules, "GET", "/records/locked/1")
    assert is_idempotent(rules, "GET", "/other")
    assert not is_idempotent(rules, "PUT", "/records")

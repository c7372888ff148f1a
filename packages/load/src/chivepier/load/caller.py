"""Making one request and verifying its answer."""

import json

import aiohttp

from chivepier.load.addressbook import AddressBook
from chivepier.load.answercheck import AnswerCheck
from chivepier.load.arrival import Arrival
from chivepier.load.outcome import Outcome
from chivepier.types import Clock

MAX_ATTEMPTS = 4
SILENCE_SECONDS = 60.0
CONNECT_SECONDS = 2.0
END = b"\n\n"


class Caller:
    """Sends requests as a careful client would.

    A connection that is refused is tried at another address; a stream that
    is lost is resumed at another one by its last event's id.  A refused
    request is not repeated: its refusal is what is measured.
    """

    def __init__(
        self, clock: Clock, http: aiohttp.ClientSession, book: AddressBook
    ):
        self._clock = clock
        self._http = http
        self._book = book

    async def run(self, arrival: Arrival) -> Outcome:
        """Make one planned request.

        :param arrival: what to ask
        :returns: how it ended
        """
        load = arrival.load
        outcome = Outcome(team=load.team, template=load.template)
        started = self._clock.monotonic()
        try:
            if load.service:
                await self._call(arrival, outcome)
            else:
                await self._stream(arrival, outcome)
        except OSError as error:
            outcome.kind, outcome.ran = "no_entry", "unknown"
            outcome.problems.append(str(error))
        outcome.seconds = self._clock.monotonic() - started
        return outcome

    async def _call(self, arrival: Arrival, outcome: Outcome) -> None:
        load = arrival.load
        headers = {
            "Authorization": f"Bearer {load.key}",
            "Idempotency-Key": f"{load.team}-{arrival.number}",
        }
        for attempt in range(MAX_ATTEMPTS):
            address = await self._book.choose(arrival.number + attempt)
            url = f"http://{address}/v1/services/{load.template}/records"
            body = {"record": arrival.number}
            try:
                async with self._http.post(
                    url, json=body, headers=headers
                ) as answer:
                    if answer.status != 200:
                        await self._note_error(answer, outcome)
                    elif (await answer.json())["runs"] != 1:
                        outcome.kind = "broken"
                        outcome.problems.append("ran more than once")
                    return
            except (aiohttp.ClientError, TimeoutError):
                self._book.drop(address)
        outcome.kind, outcome.ran = "no_entry", "unknown"

    async def _stream(self, arrival: Arrival, outcome: Outcome) -> None:
        check = AnswerCheck(arrival.prompt)
        last = self._clock.monotonic()
        started = last
        for attempt in range(MAX_ATTEMPTS):
            address = await self._book.choose(arrival.number + attempt)
            try:
                async for events in self._read(address, arrival, check):
                    now = self._clock.monotonic()
                    self._note(outcome, now, last, started)
                    last = now
                    for event in events:
                        check.take(event)
                if check.done or check.error:
                    return self._finish(arrival, check, outcome, check.error)
            except aiohttp.ClientResponseError as error:
                return self._finish(
                    arrival, check, outcome, json.loads(error.message)
                )
            except (aiohttp.ClientError, TimeoutError):
                self._book.drop(address)
            outcome.resumes += check.tokens > 0
        outcome.kind, outcome.ran = "lost", "unknown"
        outcome.tokens = check.tokens

    async def _read(self, address: str, arrival: Arrival, check: AnswerCheck):
        load = arrival.load
        headers = {"Authorization": f"Bearer {load.key}"}
        if check.last_id:
            headers["Last-Event-ID"] = check.last_id
        body = {
            "model": load.template,
            "prompt": arrival.prompt,
            "stream": True,
        }
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_SECONDS, sock_read=SILENCE_SECONDS
        )
        async with self._http.post(
            f"http://{address}/v1/completions",
            json=body,
            headers=headers,
            timeout=timeout,
        ) as answer:
            if answer.status != 200:
                await self._raise_error(answer)
            rest = b""
            async for data in answer.content.iter_any():
                *events, rest = (rest + data).split(END)
                if events:
                    yield events

    async def _raise_error(self, answer: aiohttp.ClientResponse) -> None:
        body = await answer.json()
        raise aiohttp.ClientResponseError(
            answer.request_info, (), message=json.dumps(body["error"])
        )

    async def _note_error(self, answer, outcome: Outcome) -> None:
        error = (await answer.json())["error"]
        outcome.kind, outcome.ran = error["kind"], error["ran"]
        outcome.retry_after = error["retry_after"]

    def _note(self, outcome, now: float, last: float, started: float) -> None:
        if outcome.first_token is None:
            outcome.first_token = now - started
        else:
            outcome.gaps.append(now - last)

    def _finish(
        self,
        arrival: Arrival,
        check: AnswerCheck,
        outcome: Outcome,
        error: dict | None,
    ) -> None:
        outcome.tokens = check.tokens
        outcome.problems += check.problems
        if error is not None:
            outcome.kind, outcome.ran = error["kind"], error["ran"]
            outcome.retry_after = error.get("retry_after")
        elif check.tokens != arrival.tokens:
            text = f"{check.tokens} tokens instead of {arrival.tokens}"
            outcome.problems.append(text)
        if outcome.problems:
            outcome.kind = "broken"

"""Tests of the verification itself: it must see every broken answer."""

import json

import pytest

from chivepier.load import AnswerCheck
from chivepier.load.answercheck import digest


def event(prompt, index, number=None, generation="g"):
    text = f"{digest(prompt)}.{index} "
    data = {"id": generation, "choices": [{"text": text}]}
    label = index if number is None else number
    return f"id: handle.{label}\ndata: {json.dumps(data)}".encode()


def check(events):
    answer = AnswerCheck("p")
    for one in events:
        answer.take(one)
    return answer


def test_right_answer_passes():
    answer = check([event("p", 0), event("p", 1), b"data: [DONE]"])
    assert answer.done
    assert not answer.problems


@pytest.mark.parametrize(
    "events",
    [
        [event("p", 0), event("p", 0)],
        [event("p", 1), event("p", 0)],
        [event("p", 0), event("p", 2)],
        [event("p", 0), event("p", 1, generation="h")],
        [event("q", 0)],
    ],
    ids=["repeat", "order", "gap", "second generation", "another request"],
)
def test_wrong_answer_shows(events):
    assert check(events).problems

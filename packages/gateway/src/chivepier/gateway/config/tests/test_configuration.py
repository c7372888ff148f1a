"""Tests of checking configurations and of finding routes."""

import attrs
import pytest

from chivepier.gateway.config import Configuration
from chivepier.gateway.config import ConfigurationError
from chivepier.gateway.config import Engine
from chivepier.gateway.config import Repetition
from chivepier.gateway.config import Route
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.config import Service
from chivepier.gateway.config import Team

ROUTE = Route(
    name="r",
    host="h.example",
    prefix="/a/",
    pools=(("s", 1.0),),
    streaming=False,
    repetition=Repetition.ONCE,
    attempts=1,
    timeout=1.0,
    objective=0.1,
)


def make(*routes: Route, teams=()) -> Configuration:
    """Make a configuration with one service."""
    service = Service(name="s", connections=1)
    return Configuration(
        version=1, routes=routes, services=(service,), teams=tuple(teams)
    )


@pytest.mark.parametrize(
    "routes, text",
    [
        ([attrs.evolve(ROUTE, pools=(("x", 1.0),))], "no service 'x'"),
        ([attrs.evolve(ROUTE, pools=(("s", 0.0),))], "weights"),
        ([attrs.evolve(ROUTE, pools=(("s", -1.0),))], "negative"),
        ([attrs.evolve(ROUTE, pools=())], "weights"),
        ([attrs.evolve(ROUTE, timeout=0.0)], "timeout"),
        ([attrs.evolve(ROUTE, prefix="/a")], "slash"),
        ([attrs.evolve(ROUTE, host="")], "host"),
        ([ROUTE, attrs.evolve(ROUTE, name="q")], "taken"),
    ],
)
def test_contradiction_is_reported(routes, text):
    with pytest.raises(ConfigurationError, match=text):
        make(*routes).check()


def test_two_teams_with_one_key_are_refused():
    # Guards against counting requests of one team as those of another.
    teams = [Team(name="a", keys=("k",)), Team(name="b", keys=("k", "l"))]
    with pytest.raises(ConfigurationError, match="share a key"):
        make(ROUTE, teams=teams).check()


def test_a_team_may_name_its_key_twice():
    make(ROUTE, teams=[Team(name="a", keys=("k", "k"))]).check()


@pytest.mark.parametrize(
    "host, path, name",
    [
        ("h.example", "/a/", "short"),
        ("H.Example:80", "/a/x/y", "short"),
        ("h.example", "/a/b/", "long"),
        ("h.example", "/a/b/c", "long"),
        ("h.example", "/a/bc", "short"),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("h.example", "a/b", None),
        ("other.example", "/a/", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    index = RouteIndex(
        make(
            attrs.evolve(ROUTE, name="short"),
            attrs.evolve(ROUTE, name="long", prefix="/a/b/"),
        )
    )
    route = index.find_route(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    ("urgency", "objective", "patient"),
    [(2, 4.0, True), (2, 1.8, False), (0, 4.0, False)],
)
def test_room_is_kept_where_others_have_time_to_wait(
    urgency, objective, patient
):
    """Guards sites whose classes are all in a hurry, served as before."""
    first = attrs.evolve(ROUTE, streaming=True, urgency=0, objective=1.5)
    other = attrs.evolve(
        first, prefix="/b/", urgency=urgency, objective=objective
    )
    engine = Engine(slots=8, memory_tokens=9_000)
    service = Service(name="s", connections=1, engine=engine)
    configuration = attrs.evolve(make(first, other), services=(service,))
    assert RouteIndex(configuration).patient_services == (
        {"s"} if patient else set()
    )

"""A complete configuration with the operator's version number."""

import attrs

from chivepier.gateway.config.configurationerror import ConfigurationError
from chivepier.gateway.config.limits import Limits
from chivepier.gateway.config.numbers import check_numbers
from chivepier.gateway.config.route import Route
from chivepier.gateway.config.service import Service
from chivepier.gateway.config.team import Team


@attrs.frozen(kw_only=True)
class Configuration:
    """A configuration, which takes effect as a whole.

    :param version: version number given by the operator; the highest accepted
        one is in force
    :param routes: rules that map requests to services
    :param services: groups of targets
    :param teams: teams and their keys
    :param limits: limits on callers' connections
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = Limits()

    def check(self) -> None:
        """Check that the parts are valid and consistent.

        :raises ConfigurationError: describes the first problem found
        """
        names = {service.name for service in self.services}
        if len(names) < len(self.services):
            raise ConfigurationError("two services share a name")
        host_prefixes = set()
        for route in self.routes:
            _check_route(route, names)
            host_prefix = (route.host, route.prefix)
            if host_prefix in host_prefixes:
                text = f"route {route.name}: its host and prefix are taken"
                raise ConfigurationError(text)
            host_prefixes.add(host_prefix)
        self._check_keys()

    def check_new(self) -> None:
        """Check a configuration that an operator submits.

        It asks for more than ``check``: one that an earlier release accepted
        must still be read.

        :raises ConfigurationError: describes the first problem found
        """
        self.check()
        check_numbers(self)
        self._check_places()

    def _check_places(self) -> None:
        names: dict[tuple[str, str], str] = {}
        for route in self.routes:
            if route.place in names:
                text = f"it has the place of route {names[route.place]}"
                raise ConfigurationError(f"route {route.name}: {text}")
            names[route.place] = route.name

    def _check_keys(self) -> None:
        team_by_key: dict[str, str] = {}
        for team in self.teams:
            for key in team.keys:
                other = team_by_key.setdefault(key, team.name)
                if other != team.name:
                    text = f"teams {other} and {team.name} share a key"
                    raise ConfigurationError(text)


def _check_route(route: Route, services: set[str]) -> None:
    where = f"route {route.name}"
    for service, weight in route.pools:
        if service not in services:
            raise ConfigurationError(f"{where}: no service {service!r}")
        if weight < 0:
            raise ConfigurationError(f"{where}: a weight is negative")
    if sum(weight for _, weight in route.pools) <= 0:
        raise ConfigurationError(f"{where}: its weights add up to 0")
    if route.timeout <= 0:
        raise ConfigurationError(f"{where}: its timeout is 0")
    if not route.host:
        raise ConfigurationError(f"{where}: it has no host")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        text = f"{where}: its prefix does not begin and end with a slash"
        raise ConfigurationError(text)

"""Look-up of the route and the team of a request."""

from chivepier.gateway.config.configuration import Configuration
from chivepier.gateway.config.patience import find_patient_services
from chivepier.gateway.config.route import Route
from chivepier.gateway.config.service import Service
from chivepier.gateway.config.team import Team


class RouteIndex:
    """Indexes a configuration by host, path prefix and key.

    Prefixes of a path that end at a slash are looked up, longest first, so
    the cost grows with the length of the path, not the number of routes.

    :param configuration: the configuration to index

    >>> from chivepier.gateway.config import Configuration
    >>> RouteIndex(Configuration(version=1)).find_route("a.example", "/x/")
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.version = configuration.version
        self._routes = {route.place: route for route in configuration.routes}
        self._teams = {
            key: team for team in configuration.teams for key in team.keys
        }
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.patient_services = find_patient_services(configuration)
        self.requires_key = bool(configuration.teams)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix.

        :param host: host of the request, with or without a port
        :param path: path of the request, without the query
        :returns: the route; ``None`` if none matches
        """
        name = host.lower()
        if not name.endswith("]"):
            name = name.rpartition(":")[0] or name
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Find the team of a key.

        :param key: key sent by the caller
        :returns: the team; ``None`` if the key is unknown
        """
        return self._teams.get(key)

"""Finding the route and the team of a request."""

from chivepier.gateway.config.configuration import Configuration
from chivepier.gateway.config.route import Route
from chivepier.gateway.config.service import Service
from chivepier.gateway.config.team import Team


class RouteIndex:
    """One configuration, arranged for look-ups.

    A path is cut at its slashes, longest part first, so that the cost of a
    look-up grows with the path and not with the number of routes.

    >>> from chivepier.gateway.config import Configuration
    >>> RouteIndex(Configuration(version=1)).find_route("a.example", "/x/")
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.version = configuration.version
        self._routes = {
            (route.host.lower(), route.prefix): route
            for route in configuration.routes
        }
        self._teams = {
            key: team for team in configuration.teams for key in team.keys
        }
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.requires_key = bool(configuration.teams)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix.

        :param host: the request's, with or without a port
        :param path: without a query
        :returns: the route, if any
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
        """Find who holds a key.

        :param key: as the caller sent it
        :returns: the team, if any
        """
        return self._teams.get(key)

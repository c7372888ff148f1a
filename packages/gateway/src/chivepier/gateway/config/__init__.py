"""The operator's configuration of routes, services and teams."""

from chivepier.gateway.config.configuration import Configuration
from chivepier.gateway.config.configurationerror import ConfigurationError
from chivepier.gateway.config.engine import Engine
from chivepier.gateway.config.limits import Limits
from chivepier.gateway.config.repetition import Repetition
from chivepier.gateway.config.route import Route
from chivepier.gateway.config.routeindex import RouteIndex
from chivepier.gateway.config.service import Service
from chivepier.gateway.config.team import Team

__all__ = [
    "Configuration",
    "ConfigurationError",
    "Engine",
    "Limits",
    "Repetition",
    "Route",
    "RouteIndex",
    "Service",
    "Team",
]

"""Services on which less urgent requests can wait for more urgent ones."""

import collections

from chivepier.gateway.config.configuration import Configuration

# Multiple of a more urgent class's objective that a less urgent one's must be:
# with about the same one it has to start as soon, and would only be late in
# place of the other.
MIN_OBJECTIVE_RATIO = 2.0


def find_patient_services(configuration: Configuration) -> frozenset[str]:
    """Return the services whose less urgent streams have time to wait.

    Room that is kept free for a more urgent class makes the others wait.
    That helps callers only where the others' objectives leave time for it.

    >>> find_patient_services(Configuration(version=1))
    frozenset()

    :param configuration: the configuration, whose objectives are in seconds
    """
    objectives: dict[str, list[tuple[int, float]]] = collections.defaultdict(
        list
    )
    for route in configuration.routes:
        if route.streaming:
            for service, _ in route.pools:
                objectives[service].append((route.urgency, route.objective))
    return frozenset(
        service.name
        for service in configuration.services
        if service.engine is not None
        and _has_patient_class(objectives[service.name])
    )


def _has_patient_class(classes: list[tuple[int, float]]) -> bool:
    return any(
        urgency > other and objective >= MIN_OBJECTIVE_RATIO * urgent
        for urgency, objective in classes
        for other, urgent in classes
    )

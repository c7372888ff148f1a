"""A software version whose targets are not known any more."""

import attrs


@attrs.frozen
class PastVersion:
    """When a target of a version was last heard.

    :param service: name of the service
    :param software_version: version of the software, empty if not known
    :param heard: monotonic time in seconds
    """

    service: str
    software_version: str
    heard: float

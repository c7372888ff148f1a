"""Where one stream began."""

import attrs


@attrs.frozen
class OriginKey:
    """Identifies a stream over all attempts of its caller.

    :param team: team of the caller, empty if it has none; another team's
        stream is another one, whatever its attempts are called
    :param attempt: id of the attempt that brought the first event
    """

    team: str
    attempt: str


@attrs.frozen
class Origin:
    """The service and the software version at which a stream began.

    :param key: identifies the stream
    :param service: name of the service
    :param software_version: version of its targets' software; empty if
        streams of several versions claim the same key
    :param noted_at: when it was noted, in monotonic seconds
    :param expires_at: until when it is kept, in monotonic seconds
    """

    key: OriginKey
    service: str
    software_version: str
    noted_at: float
    expires_at: float

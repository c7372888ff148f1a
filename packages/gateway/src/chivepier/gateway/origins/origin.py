"""Where one stream began."""

import attrs

from chivepier.gateway.origins.originkey import OriginKey


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

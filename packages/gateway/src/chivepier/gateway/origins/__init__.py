"""Where streams began: the service and the version of its software."""

from chivepier.gateway.origins.origin import Origin
from chivepier.gateway.origins.origin import OriginKey
from chivepier.gateway.origins.origintable import OriginTable

__all__ = [
    "Origin",
    "OriginKey",
    "OriginTable",
]

"""Where streams began: the service and the version of its software."""

from chivepier.gateway.origins.holders import choose_holders
from chivepier.gateway.origins.holders import HOLDERS
from chivepier.gateway.origins.origin import Origin
from chivepier.gateway.origins.originkeeper import OriginKeeper
from chivepier.gateway.origins.originkey import OriginKey
from chivepier.gateway.origins.origintable import MAX_ORIGINS
from chivepier.gateway.origins.origintable import OriginTable
from chivepier.gateway.origins.records import pack_origin
from chivepier.gateway.origins.records import unpack_origin

__all__ = [
    "HOLDERS",
    "MAX_ORIGINS",
    "Origin",
    "OriginKeeper",
    "OriginKey",
    "OriginTable",
    "choose_holders",
    "pack_origin",
    "unpack_origin",
]

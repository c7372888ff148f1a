"""Quarantine of requests that repeatedly end the targets that run them."""

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.crashdetector import IsReplaced
from chivepier.gateway.quarantine.crashdetector import SUSPECT_WINDOW_SECONDS
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import Record
from chivepier.gateway.quarantine.digest import digest_part
from chivepier.gateway.quarantine.digest import digest_request
from chivepier.gateway.quarantine.digest import shorten
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.quarantine.overrides import Overrides
from chivepier.gateway.quarantine.quarantine import Quarantine
from chivepier.gateway.quarantine.records import pack_records
from chivepier.gateway.quarantine.records import unpack_records
from chivepier.gateway.quarantine.trials import Trials

__all__ = [
    "Clearance",
    "CrashDetector",
    "CrashLedger",
    "Ending",
    "Hold",
    "Incarnation",
    "IsReplaced",
    "LostRequest",
    "Overrides",
    "Quarantine",
    "Record",
    "SUSPECT_WINDOW_SECONDS",
    "Trials",
    "digest_part",
    "digest_request",
    "pack_records",
    "shorten",
    "unpack_records",
]

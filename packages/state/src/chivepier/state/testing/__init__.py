"""Stand-ins for disk, links and clocks, and a checker, for tests."""

from chivepier.state.testing.checker import Checker
from chivepier.state.testing.memorydisk import MemoryDisk
from chivepier.state.testing.memorynetwork import MemoryNetwork
from chivepier.state.testing.memorystorage import MemoryStorage
from chivepier.state.testing.poweredfolder import PoweredFolder
from chivepier.state.testing.ratedclock import RatedClock
from chivepier.state.testing.refusals import Refusals
from chivepier.state.testing.refusingdisk import RefusingDisk
from chivepier.state.testing.rig import Rig

__all__ = [
    "Checker",
    "MemoryDisk",
    "MemoryNetwork",
    "MemoryStorage",
    "PoweredFolder",
    "RatedClock",
    "Refusals",
    "RefusingDisk",
    "Rig",
]

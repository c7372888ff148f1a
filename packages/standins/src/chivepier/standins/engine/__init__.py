"""A stand-in engine: continuous batching of made-up tokens."""

from chivepier.standins.engine.batch import Batch
from chivepier.standins.engine.costs import Costs
from chivepier.standins.engine.memory import Memory
from chivepier.standins.engine.stream import Stream

__all__ = ["Batch", "Costs", "Memory", "Stream"]

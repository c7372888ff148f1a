"""What an entry's instance can do, and how much of it is used."""

from chivepier.gateway.usage.ability import Ability
from chivepier.gateway.usage.abilityreporter import AbilityReporter
from chivepier.gateway.usage.abilityreporter import ROTATION_SECONDS
from chivepier.gateway.usage.processreader import ProcessReader
from chivepier.gateway.usage.usage import Usage
from chivepier.gateway.usage.usagemeter import UsageMeter

__all__ = [
    "Ability",
    "AbilityReporter",
    "ProcessReader",
    "ROTATION_SECONDS",
    "Usage",
    "UsageMeter",
]

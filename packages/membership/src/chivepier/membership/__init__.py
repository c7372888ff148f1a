"""Leases, freshness of the configuration, and ownership of shards."""

from chivepier.membership.forcetracker import ForceTracker
from chivepier.membership.freshness import Freshness
from chivepier.membership.leasetable import LeaseTable
from chivepier.membership.ownership import find_owner
from chivepier.membership.ownership import find_shard
from chivepier.membership.ownership import rank_owners
from chivepier.membership.terms import LeaseTerms

__all__ = [
    "ForceTracker",
    "Freshness",
    "LeaseTable",
    "LeaseTerms",
    "find_owner",
    "find_shard",
    "rank_owners",
]

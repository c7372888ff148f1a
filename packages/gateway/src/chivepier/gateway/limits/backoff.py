"""The backoff that an answer requests, if any."""

from chivepier.gateway.limits.invalidbackoff import InvalidBackoff
from chivepier.gateway.limits.nobackoff import NoBackoff
from chivepier.gateway.limits.requestedbackoff import RequestedBackoff

Backoff = NoBackoff | RequestedBackoff | InvalidBackoff

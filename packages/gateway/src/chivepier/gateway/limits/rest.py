"""What an answer says of the time in which its target wants nothing."""

from chivepier.gateway.limits.invalidbackoff import InvalidBackoff
from chivepier.gateway.limits.nobackoff import NoBackoff
from chivepier.gateway.limits.requestedbackoff import RequestedBackoff

Backoff = NoBackoff | RequestedBackoff | InvalidBackoff

"""What a policy decides."""

from chivepier.policy.grant import Grant
from chivepier.policy.refusal import Refusal
from chivepier.policy.stop import Stop

Decision = Grant | Refusal | Stop

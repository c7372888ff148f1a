"""Who answers at the addresses of targets, as the configuration lets ask."""

from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.targets import Target


class Identification:
    """Asks for incarnations of targets by their names.

    :param state: the configuration, which names the path to ask at
    :param calls: asks, unless the target rests or its zone is evacuated
    """

    def __init__(self, state: ServingState, calls: TargetCalls):
        self._state = state
        self._calls = calls

    async def identify(self, target: Target) -> Identity:
        """Ask which process answers at the address of a target.

        :param target: the incarnation that is asked for
        """
        index = self._state.index
        service = index.services.get(target.service) if index else None
        if service is None:
            return Identity.UNASKED
        return await self._calls.identify(target, service)

    async def is_replaced(self, target: Target) -> bool | None:
        """Tell whether another process answers at the address of a target.

        :param target: the incarnation that is asked for
        :returns: ``False`` if it answers itself; ``None`` if neither is known
        """
        match await self.identify(target):
            case Identity.SAME:
                return False
            case Identity.OTHER:
                return True
            case _:
                return None

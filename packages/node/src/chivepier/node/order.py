"""An order to a target."""

import attrs

from chivepier.node.orderkind import OrderKind


@attrs.frozen(kw_only=True)
class Order:
    """One step from a target's announced state to the intended one."""

    target: str
    address: str
    checks_fence: bool
    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def loads(self) -> bool:
        """Whether the target fetches from the weight store for it."""
        return self.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)

    def render(self, fence: int, deadline: float) -> dict:
        """Build the order's JSON.

        :param fence: the controller's fencing number
        :param deadline: seconds in which it must be begun
        :returns: as docs/STANDINS.md gives it
        """
        return {
            "fence": fence,
            "order": self.kind.value,
            "model": self.model,
            "version": self.version,
            "adapter": self.adapter,
            "role": self.role,
            "deadline": deadline,
        }

"""One generation inside a fake engine."""

from chivepier.policy.ask import Ask


class Sequence:
    """A generation's true length and its progress.

    ``private`` counts tokens held outside shared prefix blocks, ``todo``
    the tokens that must be computed before it can decode, ``stalled`` the
    seconds inside the stream in which nothing came.
    """

    __slots__ = (
        "ask",
        "arrived",
        "blocks",
        "chain",
        "first",
        "last",
        "length",
        "permit",
        "preempted",
        "private",
        "produced",
        "shared",
        "stalled",
        "todo",
    )

    def __init__(self, ask: Ask, permit: int, call, arrived: float):
        self.ask = ask
        self.permit = permit
        self.length = call.length
        self.arrived = arrived
        self.chain = call.chain
        self.produced = 0
        self.private = 0
        self.blocks = 0
        self.shared = 0
        self.todo = 0
        self.first = None
        self.last = arrived
        self.stalled = 0.0
        self.preempted = 0

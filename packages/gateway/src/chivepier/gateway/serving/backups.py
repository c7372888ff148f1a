"""Where a growing copy of a generation is kept."""

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Share of the memory of all ready targets up to which growing copies are
# kept. They hold as much as the generation itself, and on fleets where memory
# binds each would keep a request waiting that could run.
MOST_FILLED = 0.6
# Tokens of output from which on a generation is worth a copy: one of three
# seconds. Shorter ones mostly end within the notice of a leaving target, and
# lose little where it crashes.
LEAST_OUTPUT = 300


class Backups:
    """Picks the target that keeps a copy of a generation as it grows.

    A target that crashes takes its generations with it, and one that leaves
    gives a notice that is too short to copy nine generations off it one after
    the other. With a copy elsewhere the stream goes on there at once.

    :param chooser: finds room
    :param table: which targets still serve
    :param board: counts the memory that copies take
    :param clock: monotonic time
    """

    def __init__(
        self,
        chooser: Chooser,
        table: TargetTable,
        board: LoadBoard,
        clock: Clock,
    ):
        self._chooser = chooser
        self._table = table
        self._board = board
        self._clock = clock

    def pick(self, plan: Plan, source: Target) -> Target | None:
        """Pick where the copy of a generation is kept, if it is worth one.

        :param plan: the request's
        :param source: where it is sent
        """
        engine, demand = plan.service.engine, plan.demand
        if engine is None or demand is None or not engine.backups:
            return None
        if plan.repeatable or demand.output < LEAST_OUTPUT:
            return None
        service = plan.service.name
        if self._chooser.measure_filled(service, engine) > MOST_FILLED:
            return None
        return self._chooser.choose_destination(
            service, engine, demand.soon, source, {source.instance}
        )

    def keep(self, run: LiveRun, target: Target | None) -> None:
        """Count a generation's copy at a target, and no longer at another.

        :param run: the generation
        :param target: that keeps its copy now; ``None`` for none
        """
        if run.backup is not None:
            name = run.backup.instance
            self._board.change(name, tokens=-run.backup_tokens)
        run.backup = target
        run.backup_tokens = run.counted if target is not None else 0
        if target is not None:
            self._board.change(target.instance, tokens=run.backup_tokens)

    def grow(self, run: LiveRun, tokens: int) -> None:
        """Count that a generation, and its copy, have grown."""
        if run.backup is not None:
            run.backup_tokens += tokens
            self._board.change(run.backup.instance, tokens=tokens)

    def find(self, run: LiveRun) -> Target | None:
        """Return the target that keeps a copy, if it can be gone on from."""
        backup = run.backup
        if backup is None:
            return None
        known = self._table.get(backup.instance)
        if known is None or not self._table.is_current(backup):
            return None
        return known if known.state is TargetState.READY else None

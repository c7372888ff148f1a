"""Counting the generations that are relayed, and who keeps their copies."""

from chivepier.gateway.serving.liverun import FAR_FACTOR
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.liverun import milliseconds
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import SOON_TOKENS
from chivepier.gateway.targets import Target
from chivepier.types import Clock

# Share of a leaving target's notice that moves may take. Entries learn of the
# notice within 0.1 s, a copy may wait for another one at its destination, and
# some targets are gone a fifth earlier than announced.
MOVED_SHARE = 0.5
# Copies may fill a target up to this share only: beyond, a copy would take
# the memory that generations of other callers need soon.
BACKUP_SHARE = 0.6
# Generations that are expected to make fewer tokens are not backed up: they
# take about a second, as long as a copy needs to be of use.
BACKUP_OUTPUT = 100


class RunWatch:
    """Keeps the loads that entries share, and tells the mover what runs.

    :param board: loads by target
    :param mover: moves generations off targets that leave
    :param chooser: finds targets for copies
    :param notice: seconds for which a target that leaves still serves
    :param clock: monotonic time
    """

    def __init__(
        self,
        board: LoadBoard,
        mover: Mover,
        chooser: Chooser,
        notice: float,
        clock: Clock,
    ):
        self._board = board
        self._mover = mover
        self._chooser = chooser
        self._notice = notice
        self._clock = clock

    def start(self, plan: Plan, target: Target) -> LiveRun:
        """Begin to watch a request that is sent to a target.

        :param plan: the request's
        :param target: where it is sent
        :returns: the run, which :meth:`unwatch` ends
        """
        demand = plan.demand or Demand(prompt=0, output=0)
        run = LiveRun(
            plan.request,
            plan.service,
            target,
            demand.tokens,
            counted=demand.soon,
            reading=demand.prompt,
            moves=not plan.repeatable,
        )
        run.backup = self.choose_backup(plan, target)
        self.watch(run)
        return run

    def watch(self, run: LiveRun) -> None:
        """Count a generation at its target and watch that."""
        self._count(run, 1)
        self._mover.add(run)

    def unwatch(self, run: LiveRun) -> None:
        """Take a generation off its target."""
        self._count(run, -1)
        self._mover.remove(run)

    def give_up(self, run: LiveRun) -> None:
        """Take off a generation that goes on nowhere.

        A move of it would else ask its source until the process ends: one
        that broke off before its first event looks as if it waited still.
        """
        self.unwatch(run)
        run.ended = True
        run.lost.set()

    def note_begun(self, run: LiveRun) -> None:
        """Note that its first event came from this target."""
        if run.began is None:
            run.began = self._clock.monotonic()
            self._board.change(run.target.instance, reading=-run.reading)

    def note_growth(self, run: LiveRun) -> None:
        """Count what a generation takes, once it has grown by some."""
        if run.held + SOON_TOKENS // 2 <= run.counted:
            return
        grown = run.held + SOON_TOKENS - run.counted
        run.counted += grown
        self._board.change(run.target.instance, tokens=grown)
        if run.backup is not None:
            self._board.change(run.backup.instance, tokens=grown)

    def _is_long(self, plan: Plan) -> bool:
        if plan.demand is None or plan.repeatable:
            return False
        return plan.demand.output >= BACKUP_OUTPUT

    def drop_backup(self, run: LiveRun) -> None:
        """Note that no copy is kept of a generation any more."""
        if run.backup is not None:
            self._board.change(run.backup.instance, tokens=-run.counted)
            run.backup = None
            if not run.bare:
                run.bare = True
                exposed = milliseconds(run.end_seconds())
                self._board.change(run.target.instance, exposed=exposed)

    def _count(self, run: LiveRun, sign: int) -> None:
        waits = run.began is None
        if sign > 0:
            run.bare = run.backup is None and run.moves
        self._board.change(
            run.target.instance,
            runs=sign,
            tokens=sign * run.counted,
            reading=sign * run.reading if waits else 0,
            exposed=sign * milliseconds(run.end_seconds()) if run.bare else 0,
        )
        if run.backup is not None:
            self._board.change(run.backup.instance, tokens=sign * run.counted)

    def choose_backup(self, plan: Plan, target: Target) -> Target | None:
        """Pick who keeps a copy of a generation while it grows.

        Copies share the targets' links with the moves that they are to
        spare: where every generation had one, the others could not be moved
        within the notice. So only those get one that the notice of their
        target would not last for.

        :param plan: the request's
        :param target: where it runs
        :returns: the target, if one is needed and has room to spare
        """
        engine = plan.service.engine
        if engine is None or not engine.backups or not self._is_long(plan):
            return None
        now = self._clock.monotonic()
        exposed = self._board.total(target.instance, now).exposed / 1000
        own = FAR_FACTOR * plan.demand.tokens * engine.token_seconds
        if exposed + own <= MOVED_SHARE * self._notice:
            return None
        return self._chooser.choose_copy(
            plan.service.name,
            engine,
            plan.demand.soon,
            target,
            {target.instance},
            BACKUP_SHARE,
        )

"""The replicated state: what the log's commands add up to."""

import collections
import collections.abc
import sys
import typing

import attrs
import cbor2

from chivepier.documents import Document
from chivepier.messages import ChangeCommand
from chivepier.messages import ClaimCommand
from chivepier.messages import decode
from chivepier.messages import Edit
from chivepier.messages import Entry
from chivepier.messages import InForceCommand
from chivepier.messages import JoinCommand
from chivepier.messages import LeaveCommand
from chivepier.messages import Member
from chivepier.messages import Noop
from chivepier.messages import OutcomeCommand
from chivepier.messages import SecretCommand
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state.answer import Answer
from chivepier.state.claims import Claims
from chivepier.state.historyitem import HistoryItem
from chivepier.state.membersets import MemberSets
from chivepier.state.recententries import RecentEntries
from chivepier.state.snapshot import Snapshot
from chivepier.types import ErrorKind
from chivepier.types import Signal

KEPT_ANSWERS = 20_000
KEPT_HISTORY = 2_000

# claims and bookkeeping leave the configuration's version as it is
UNVERSIONED = (ClaimCommand, OutcomeCommand, Noop, InForceCommand)

EpochWatcher = collections.abc.Callable[[bool], None]


class Machine:
    """Applies committed entries in order; the same on every node.

    Reads are plain attributes.  :attr:`changed` is set after each entry.
    :attr:`version` is the index of the last entry that changed the
    configuration or the membership; claims leave it as it is.
    ``epoch_watchers`` are called in the middle of a batch, at each epoch:
    who looks only after the batch misses that it lost a shard in between.
    A snapshot skips epochs; they are called with ``True`` then.

    :param recent: keeps the newest entries for nodes without a disk
    """

    def __init__(self, recent: RecentEntries | None = None) -> None:
        self.index = 0
        self.term = 0
        self.version = 0
        self.changed = Signal()
        self.documents: dict[tuple[str, str], Document] = {}
        self.members: dict[str, Member] = {}
        self.epoch = 0
        self.member_sets = MemberSets()
        self.epoch_watchers: list[EpochWatcher] = []
        self.voters: tuple[Voter, ...] = ()
        self.secret = b""
        self.claims = Claims()
        self.answers: collections.OrderedDict[str, Answer] = (
            collections.OrderedDict()
        )
        self.history: collections.deque[HistoryItem] = collections.deque(
            maxlen=KEPT_HISTORY
        )
        self.recent = RecentEntries() if recent is None else recent

    def apply(self, entry: Entry) -> Answer:
        """Apply the next committed entry.

        :param entry: the entry after :attr:`index`
        :returns: the answer to its command
        :raises ValueError: when the entry is not the next one
        """
        if entry.index != self.index + 1:
            text = f"entry {entry.index} after {self.index}"
            raise ValueError(text)
        command = decode(entry.command) if entry.command else Noop()
        answer = self._run(command, entry.index)
        if not isinstance(command, UNVERSIONED):
            self.version = entry.index
        self.index = entry.index
        self.term = entry.term
        self.recent.append(entry)
        self.changed.set()
        return answer

    def _run(self, command: typing.Any, index: int) -> Answer:
        match command:
            case ChangeCommand() as command:
                return self._change(command, index)
            case JoinCommand(member=member):
                return self._join(member, index)
            case LeaveCommand(node=node, incarnation=incarnation):
                return self._leave(node, incarnation, index)
            case VotersCommand(voters=voters):
                self.voters = voters
                return Answer("", "", index)
            case ClaimCommand() as command:
                return self.claims.claim(command, index, self.members)
            case OutcomeCommand() as command:
                return self.claims.settle(command, index)
            case SecretCommand(secret=secret):
                # the first one stands: two new leaders may both propose
                self.secret = self.secret or secret
                return Answer("", "", index)
            case InForceCommand(epoch=epoch):
                self.member_sets.settle(epoch)
                return Answer("", "", index)
            case Noop():
                return Answer("", "", index)
            case other:
                raise ValueError(f"not a command: {other!r}")

    def _change(self, command: ChangeCommand, index: int) -> Answer:
        known = self.answers.get(command.change_id)
        if known is not None:
            return known
        conflict = self._find_conflict(command)
        if conflict is not None:
            answer = Answer(ErrorKind.VERSION_CONFLICT.value, conflict, index)
        else:
            versions = [self._edit(e, command, index) for e in command.edits]
            answer = Answer("", "", index, cbor2.dumps(versions))
        self.answers[command.change_id] = answer
        while len(self.answers) > KEPT_ANSWERS:
            self.answers.popitem(last=False)
        return answer

    def _find_conflict(self, command: ChangeCommand) -> str | None:
        for edit in command.edits:
            current = self.documents.get((edit.kind, edit.name))
            version = current.version if current else 0
            if version != edit.base_version:
                winner = self._describe_winner(edit.kind, edit.name)
                return (
                    f"{edit.kind}/{edit.name} is at version {version},"
                    f" not {edit.base_version}{winner}"
                )
        return None

    def _describe_winner(self, kind: str, name: str) -> str:
        for item in reversed(self.history):
            if (item.kind, item.name) == (kind, name):
                verb = "removed" if item.removed else "written"
                return (
                    f": {verb} by change {item.change_id!r} of operator"
                    f" {item.operator!r} at version {item.version}"
                )
        return ""

    def _edit(self, edit: Edit, command: ChangeCommand, index: int) -> int:
        # the log index serves as version: a name that is removed and made
        # again must not meet an old If-Match by chance
        version = index
        key = (edit.kind, edit.name)
        if edit.spec is None:
            self.documents.pop(key, None)
        else:
            self.documents[key] = Document(
                kind=sys.intern(edit.kind),
                name=edit.name,
                version=version,
                spec=edit.spec,
            )
        self.history.append(
            HistoryItem(
                index,
                command.change_id,
                command.operator,
                edit.kind,
                edit.name,
                version,
                edit.spec is None,
            )
        )
        return version

    def _join(self, member: Member, index: int) -> Answer:
        known = self.members.get(member.node)
        if known is not None and known.incarnation > member.incarnation:
            return Answer(
                ErrorKind.VERSION_CONFLICT.value, "older incarnation", index
            )
        if known != member:
            self.members[member.node] = member
            self._note_epoch(index)
        return Answer("", "", index)

    def _leave(self, node: str, incarnation: int, index: int) -> Answer:
        known = self.members.get(node)
        if known is not None and known.incarnation == incarnation:
            del self.members[node]
            self._note_epoch(index)
        return Answer("", "", index)

    def _note_epoch(self, index: int) -> None:
        self.epoch = index
        self.member_sets.add(index, self.members.values())
        for watcher in self.epoch_watchers:
            watcher(False)

    def changed_since(self, version: int) -> set[tuple[str, str]] | None:
        """Name the documents that changed after a version.

        Whoever keeps something derived from the documents follows a change
        by this; deriving it anew from 49,000 teams would hold up every
        stream of the node for more than a second.

        :param version: a log index that was seen before
        :returns: kinds and names, or ``None`` when that is no longer known
        """
        oldest = self.history[0].index if self.history else self.index + 1
        if self.history.maxlen == len(self.history) and oldest > version:
            return None
        changed = set()
        for item in reversed(self.history):
            if item.index <= version:
                break
            changed.add((item.kind, item.name))
        return changed

    def take_snapshot(self, with_claims: bool = True) -> Snapshot:
        """Pack the state.

        :param with_claims: false for nodes that hold no claims
        :returns: the snapshot at :attr:`index`
        """
        fields = {
            # field by field: attrs.astuple looks into each value, which
            # holds up every stream of the node
            "documents": [
                (d.kind, d.name, d.version, d.spec)
                for d in self.documents.values()
            ],
            "members": [attrs.astuple(m) for m in self.members.values()],
            "version": self.version,
            "epoch": self.epoch,
            "member_sets": self.member_sets.pack(),
            "voters": [attrs.astuple(v) for v in self.voters],
            "secret": self.secret,
            "claims": self.claims.dump() if with_claims else {},
            "answers": [
                (k, attrs.astuple(a)) for k, a in self.answers.items()
            ],
            "history": [h.pack() for h in self.history],
        }
        return Snapshot(self.index, self.term, cbor2.dumps(fields))

    def take_over(self, other: "Machine") -> None:
        """Become what another machine is.

        :param other: no longer used afterwards
        :raises ValueError: when it is older: a state never reverts
        """
        if other.index < self.index:
            raise ValueError(f"state {other.index} < {self.index}")
        own = {"changed": self.changed, "epoch_watchers": self.epoch_watchers}
        vars(self).update({**vars(other), **own})
        for watcher in self.epoch_watchers:
            watcher(True)
        self.changed.set()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot's.

        :param snapshot: packed state, not older than :attr:`index`
        :raises ValueError: when it is older: a state never reverts
        """
        if snapshot.index < self.index:
            raise ValueError(f"snapshot {snapshot.index} < {self.index}")
        fields = cbor2.loads(snapshot.data)
        documents = [_load_document(d) for d in fields["documents"]]
        self.documents = {(d.kind, d.name): d for d in documents}
        self.members = {m[0]: Member(*m) for m in fields["members"]}
        self.version = fields["version"]
        self.epoch = fields["epoch"]
        self.member_sets = MemberSets.unpack(fields["member_sets"])
        self.voters = tuple(Voter(*v) for v in fields["voters"])
        self.secret = fields["secret"]
        self.claims.load(fields["claims"])
        self.answers = collections.OrderedDict(
            (k, Answer(*a)) for k, a in fields["answers"]
        )
        self.history.clear()
        self.history.extend(HistoryItem.unpack(h) for h in fields["history"])
        self.recent.clear()
        self.index = snapshot.index
        self.term = snapshot.term
        for watcher in self.epoch_watchers:
            watcher(True)
        self.changed.set()


def _load_document(fields: list) -> Document:
    kind, name, version, spec = fields
    # one string for all: a decoder makes a new one for each team
    return Document(
        kind=sys.intern(kind), name=name, version=version, spec=spec
    )

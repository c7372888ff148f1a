"""Which part of a node handles which message of a peer."""

import attrs

import chivepier.messages as messages
from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.node.localreplica import LocalReplica
from chivepier.node.owner import Owner
from chivepier.node.permits import Permits
from chivepier.node.renewal import Renewal
from chivepier.node.voters import Voters
from chivepier.wire import RefusedError


@attrs.define(kw_only=True)
class PeerMessages:
    """Hands each message to its part.

    The parts need the peer links, and these need :meth:`handle`: the parts
    are set when they are built.
    """

    cluster: Cluster
    owner: Owner = None
    permits: Permits = None
    renewal: Renewal = None
    commander: Commander = None
    voters: Voters = None
    local: LocalReplica = None

    def handle(self, message, channel):
        """Handle a message.

        :param message: what a peer sent
        :param channel: the link it came by
        :returns: the answer, an awaitable of one, or ``None``
        :raises RefusedError: when it is for a voter and this node is none
        """
        match message:
            case messages.PermitRequest():
                return self.owner.handle_permit(message)
            case messages.ReleaseReport():
                return self.owner.handle_release(message)
            case messages.ProgressReport():
                return self.owner.handle_progress(message)
            case messages.StopOrder():
                return self.permits.handle_stop(message)
            case messages.ConfirmRequest():
                return self.owner.handle_confirm(message)
            case messages.AdoptRequest():
                return self.owner.handle_adopt(message)
            case messages.TakeoverRequest():
                return self.permits.handle_takeover(message)
            case messages.InflightRequest():
                return self.permits.handle_inflight(message)
            case messages.CancelReport():
                return self.owner.handle_cancel(message)
            case messages.DeputyAnnouncement():
                return self.owner.handle_deputy(message)
            case messages.Announcement():
                return self.owner.handle_announcement(message)
            case messages.TargetsRequest():
                return self.owner.handle_targets(message)
        return self._handle_membership(message)

    def _handle_membership(self, message):
        match message:
            case messages.RenewRequest():
                return self._handle_renew(message)
            case messages.DeathRequest():
                return self.cluster.dead.handle_death(message)
            case messages.FreshRequest():
                return self.renewal.handle_fresh(message)
            case messages.ChangedNotice():
                return self.renewal.handle_notice(message)
            case messages.SyncRequest():
                return self.renewal.handle_sync(message)
            case messages.CommandRequest():
                return self.commander.handle(message)
            case messages.IdentityRequest():
                return self.local.identify()
            case messages.VotersRequest():
                return self.voters.handle(message)
            case messages.LogRequest():
                return self.voters.handle_log(message)
            case messages.EnrolRequest():
                return self.local.enrol(message)
            case messages.BootstrapRequest():
                return self.local.found(message)
        return self._handle_log(message)

    def _handle_log(self, message):
        replica = self.cluster.replica
        match message:
            case messages.AppendRequest() if replica is not None:
                return replica.handle_append(message)
            case messages.VoteRequest() if replica is not None:
                return replica.handle_vote(message)
            case messages.SnapshotRequest() if replica is not None:
                return replica.handle_snapshot(message)
            case (
                messages.AppendRequest()
                | messages.VoteRequest()
                | messages.SnapshotRequest()
            ):
                # meant for the identity that was lost with its folder
                raise RefusedError("no voter here")
        text = f"{type(message).__name__} at {self.cluster.settings.name}"
        raise ValueError(f"not handled: {text}")

    def _handle_renew(
        self, message: messages.RenewRequest
    ) -> messages.RenewAnswer:
        cluster = self.cluster
        if cluster.leadership is None:
            return messages.RenewAnswer(False, cluster.leader, 0, 0)
        return cluster.leadership.handle_renew(message)

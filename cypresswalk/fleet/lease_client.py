"""A member's lease: when to request it, and the report sent with each request. No clock."""

from cypresswalk.fleet.leases import HeldLease
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.messages import LeaseGrant, LeaseRequest

MAX_OBJECTION_LENGTH = 300  # characters
# The next lease is requested after `max_contradiction` divided by one of these.
RENEWAL_DIVISOR = 4  # while a lease is held
RETRY_DIVISOR = 20  # without a lease
JITTER_DIVISOR = 4  # the wait is shortened by a random time of up to wait / JITTER_DIVISOR


class LeaseClient:
    """Requests for leases, and the time until which the deciding thread may act."""

    def __init__(self, context: MemberContext, now: int, applied_version: int):
        """Begin without a lease; the deciding thread acts on `applied_version`."""
        self.context = context
        self.lease = HeldLease(context.config.max_contradiction, now)
        self.request_at = now
        self.applied_version = applied_version
        self.holds_replicas = False

    def valid_until(self) -> int:
        """Return until when the deciding thread may act on its version; 0 if it may not act."""
        return self.lease.valid_until(self.applied_version)

    def next_request(self, now: int) -> LeaseRequest | None:
        """Return a request if a leader is known, and set the time of the next request."""
        context = self.context
        held = now < self.valid_until()
        divisor = RENEWAL_DIVISOR if held else RETRY_DIVISOR
        wait = context.config.max_contradiction // divisor
        self.request_at = now + wait - context.random.randrange(wait // JITTER_DIVISOR)
        if not context.leader:
            return None
        host, identity = context.host, context.identity
        pending = context.state.pending
        objection = ""
        if pending is not None:
            objection = host.settings_objection(pending.settings)[:MAX_OBJECTION_LENGTH]
        return LeaseRequest(
            number=self.lease.request(now),
            version=self.applied_version,
            proposal_id=pending.proposal_id if pending is not None else "",
            objection=objection,
            generation=context.received_list.generation,
            digest=context.received_list.digest,
            data_losses=identity.data_losses,
            holds_replicas=self.holds_replicas,
            ready=host.is_ready(),
            flow_counts=host.flow_counts(),
            boot=identity.boot,
            last_lease=self.lease.granted_number,
            servers=host.server_report(),
        )

    def on_grant(self, now: int, grant: LeaseGrant) -> None:
        """Process a granted lease."""
        self.lease.on_grant(grant.number, grant.version)

    def on_version_applied(self, now: int, version: int) -> None:
        """Record that the deciding thread now acts on `version`; request a lease, to report it."""
        if version > self.applied_version:
            self.applied_version = version
            self.request_at = now

"""Selection of the hosts of claim partitions, and the partitions that this router hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok

from loomyard.rendezvous import rank
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.keys import PARTITIONS, partition_of, stream_of
from loomyard_router.claims.messages import (
    BeginAnswer,
    BeginClaim,
    KeyView,
    LookUp,
    SettleClaims,
    Settled,
)
from loomyard_router.claims.partition import ClaimPartition
from loomyard_router.claims.unknown_outcomes import MAX_CLOCK_SKEW, UnknownOutcomeReporter
from loomyard_router.claims.verdict import Verdict
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from collections.abc import Iterator

    import gevent

    from loomyard.clock import Clock
    from loomyard.external.log_service import LogService
    from loomyard_router.claims.key_state import KeyState
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# The second host follows the stream too, so that it can answer as soon as the first is gone.
HOSTS_PER_PARTITION = 2
# Routers ranked after this stop hosting; one in between goes on if it hosts already (hysteresis).
STOP_HOSTING_RANK = 3
SWEEP_SECONDS = 5.0
HOST_ANSWER_SECONDS = 1.5

Message = LookUp | BeginClaim | SettleClaims


class ClaimHosting:
    """Sends requests to the hosts of partitions, and is a host itself.

    Hosts are chosen by rendezvous hash over the live routers. Routers may differ in their view of
    the hosts: the choice only decides which router appends, log order decides which claim wins.
    """

    def __init__(
        self, *, log: LogService, clock: Clock, members: Membership, peers: PeerLinks
    ) -> None:
        self._log = log
        self._clock = clock
        self._members = members
        self._peers = peers
        self._hosts: list[list[str]] = []
        self._partitions: dict[int, ClaimPartition] = {}
        self._unknown_outcomes = UnknownOutcomeReporter(members)
        self._sweep_task: gevent.Greenlet | None = None
        self._stopped = False

    @property
    def ready(self) -> bool:
        """Whether this router has read all partitions that it hosts to their ends."""
        return all(partition.ready for partition in self._partitions.values())

    def start(self) -> None:
        """Start hosting, and answering peers."""
        for kind in (LookUp, BeginClaim, SettleClaims):
            self._peers.handle(kind, self._answer_peer)
        self._members.subscribe(self._update_hosts)
        self._update_hosts()
        self._sweep_task = start_supervised("claims", self._clock, self._sweep_unknown)

    def stop(self) -> None:
        """Stop hosting."""
        if self._sweep_task is not None:
            self._sweep_task.kill()
        # Stopping a partition blocks; a change of members meanwhile must not start it again.
        self._stopped = True
        while self._partitions:
            _, partition = self._partitions.popitem()
            partition.stop()

    def report_unknown(self) -> list[KeyState]:
        """Log new claims of unknown outcome and return all, where this router is the first host."""
        own = self._members.own.name
        claims = [
            claim
            for number, partition in self._partitions.items()
            if self._hosts[number][:1] == [own]
            for claim in partition.unsettled()
        ]
        return self._unknown_outcomes.report(claims, self._clock.wall())

    def request(self, key: bytes, message: Message, deadline: float) -> Iterator[Any]:
        """Yield the answers of the hosts of a key's partition, as ``request_partition``."""
        return self.request_partition(partition_of(key), message, deadline)

    def request_partition(self, partition: int, message: Message, deadline: float) -> Iterator[Any]:
        """Yield the answers of the hosts of a partition in order, skipping those that fail.

        Each host gets an equal part of the time to the deadline, so that one that hangs leaves time
        for the next.
        """
        own = self._members.own.name
        hosts = self._hosts[partition]
        for number, host in enumerate(hosts):
            now = self._clock.now()
            if now >= deadline:
                return
            until = now + (deadline - now) / (len(hosts) - number)
            if host == own:
                yield self.answer(message, until)
                continue
            match self._peers.request(host, message, until):
                case Ok(answer):
                    yield answer
                case Err(_):
                    self._members.suspect(host)

    def answer(self, message: Message, deadline: float) -> KeyView | BeginAnswer | Settled:
        """Answer a request as a host."""
        match message:
            case LookUp():
                return self._look_up(message)
            case BeginClaim():
                return self._begin(message, deadline)
            case SettleClaims():
                return self._settle(message, deadline)

    def _answer_peer(self, sender: Member, message: Any) -> Any:
        return self.answer(message, self._clock.now() + HOST_ANSWER_SECONDS)

    def _sweep_unknown(self) -> None:
        while True:
            self._clock.sleep(SWEEP_SECONDS)
            self.report_unknown()

    def _update_hosts(self) -> None:
        if self._stopped:
            return
        names = [member.name for member in self._members.live()]
        own = self._members.own.name
        ranked = [rank(stream_of(number), names) for number in range(PARTITIONS)]
        self._hosts = [order[:HOSTS_PER_PARTITION] for order in ranked]
        for number, order in enumerate(ranked):
            if own in order[:HOSTS_PER_PARTITION] and number not in self._partitions:
                self._partitions[number] = ClaimPartition(self._log, self._clock, number)
                self._partitions[number].start()
            elif own not in order[:STOP_HOSTING_RANK] and number in self._partitions:
                self._partitions.pop(number).stop()

    def _find_ready(self, number: int) -> ClaimPartition | None:
        partition = self._partitions.get(number)
        return partition if partition is not None and partition.ready else None

    def _look_up(self, message: LookUp) -> KeyView:
        partition = self._find_ready(partition_of(message.key))
        if partition is None:
            return KeyView(ready=False)
        state = partition.find(message.key)
        if state is None:
            return KeyView(ready=not partition.is_full, phase=Phase.FREE)
        return KeyView(
            ready=True,
            phase=state.phase,
            fingerprint=state.fingerprint,
            owner=state.owner,
            incarnation=state.incarnation,
            answer_by=state.answer_by,
            outcome=state.outcome,
        )

    def _begin(self, message: BeginClaim, deadline: float) -> BeginAnswer:
        begun = message.begun
        partition = self._find_ready(partition_of(begun.key))
        if partition is None:
            return BeginAnswer(detail="the host has not read the partition to its end")
        # Negated so that NaN is refused too.
        if not abs(begun.begun_at - self._clock.wall()) <= MAX_CLOCK_SKEW:
            return BeginAnswer(detail="the wall clocks of claimant and host differ too much")
        state = partition.find(begun.key)
        if state is not None and state.claim_id != begun.claim_id:
            return BeginAnswer(verdict=Verdict.TAKEN)
        verdict = partition.begin(begun, deadline)
        return BeginAnswer(verdict=verdict, detail="" if verdict else "no answer from the log")

    def _settle(self, message: SettleClaims, deadline: float) -> Settled:
        partition = self._partitions.get(message.partition)
        if partition is None:
            return Settled(done=False)
        return Settled(done=partition.settle([*message.abandoned, *message.finished], deadline))

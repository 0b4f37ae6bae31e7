"""Memory and CPU time for each retained idempotency key."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.claims.partition_state import PartitionState
from loomyard_router.claims.records import Begun, ClaimBatch, Finished
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_standins.benches.slopes.sample import Sample
from loomyard_standins.benches.slopes.usage import cpu_seconds, resident_bytes

KEYS_PER_BATCH = 16
BEGUN_AT = 1_000_000.0
RETENTION_SECONDS = 3600.0
BODY = b'{"receipt": 123456, "bay": 7, "state": "swapped"}'


@frozen
class ClaimsProbe:
    """Apply batches of begun and finished claims whose recorded answers have 49 bytes."""

    sizes: tuple[int, ...] = (5_000, 10_000, 20_000, 40_000)

    def measure(self, size: int) -> Sample:
        """Apply the claims of ``size`` keys to an empty partition."""
        state = PartitionState()
        log_bytes, batches = 0, 0
        memory, cpu = resident_bytes(), 0.0
        for first in range(0, size, KEYS_PER_BATCH):
            for payload in _payloads(range(first, min(size, first + KEYS_PER_BATCH))):
                started = cpu_seconds()
                state.apply(unpack(payload, ClaimBatch).unwrap())
                cpu += cpu_seconds() - started
                log_bytes += len(payload)
                batches += 1
        return Sample(
            size=size,
            quantities={
                "rss_bytes": resident_bytes() - memory,
                "fold_cpu_seconds": cpu,
                "log_bytes": log_bytes,
            },
        )


def _payloads(numbers: range) -> list[bytes]:
    outcome = RecordedOutcome(status=201, content_type="application/json", body=BODY)
    begun = [_begun(number) for number in numbers]
    finished = [Finished(claim_id=b.claim_id, key=b.key, outcome=outcome) for b in begun]
    return [pack(ClaimBatch(begun=begun)), pack(ClaimBatch(finished=finished))]


def _begun(number: int) -> Begun:
    return Begun(
        claim_id=number.to_bytes(12, "big"),
        key=number.to_bytes(16, "big"),
        fingerprint=number.to_bytes(16, "big"),
        owner=f"router-{number % 360}",
        incarnation=number % 360 << 32,
        begun_at=BEGUN_AT,
        answer_by=BEGUN_AT + 60,
        keep_until=BEGUN_AT + RETENTION_SECONDS,
    )

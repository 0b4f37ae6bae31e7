"""The numbered log events and a function that logs one with its fields."""

from __future__ import annotations

import logging
from enum import Enum


class Event(Enum):
    """A log event: number, level and message."""

    ROUTER_STARTED = (100, logging.INFO, "the router serves callers")
    ROUTER_STOPPING = (101, logging.INFO, "a planned stop began")
    ROUTER_STOPPED = (102, logging.INFO, "a planned stop ended")
    SETTINGS_ADOPTED = (103, logging.INFO, "changed settings are in force")
    SETTINGS_UNREADABLE = (104, logging.ERROR, "changed settings are unreadable; the old ones stay")
    EXAMPLE_SECRET_USED = (105, logging.ERROR, "peer links use the example secret")
    ROUTER_STARTING = (106, logging.INFO, "the settings are read; the router starts")
    START_ENDED_EARLY = (107, logging.WARNING, "the process ends before it served callers")
    RELOAD_IGNORED = (109, logging.WARNING, "SIGHUP changes nothing; restart for other arguments")
    START_TOOK = (108, logging.INFO, "seconds that each part of the start took")
    SETTINGS_AWAITED = (115, logging.WARNING, "the start waits for a settings file to be read")
    PORT_AWAITED = (111, logging.WARNING, "the start waits for an address that is not free")
    PORT_OBTAINED = (112, logging.INFO, "an address that the start waited for is free")
    METRICS_UNSERVED = (113, logging.ERROR, "metrics can't be served; tried again meanwhile")
    METRICS_SERVED = (114, logging.INFO, "metrics are served after all")
    LIMITS_FOUND = (116, logging.INFO, "limits on memory and descriptors were read")
    SHORTAGE = (117, logging.ERROR, "memory or descriptors are short; new requests are refused")
    SHORTAGE_OVER = (118, logging.INFO, "a shortage of memory or descriptors is over")
    LOG_LINES_LEFT_OUT = (110, logging.WARNING, "log lines were dropped")
    CONFIGURATION_ADOPTED = (200, logging.INFO, "a configuration version is in force")
    CONFIGURATION_REJECTED = (201, logging.WARNING, "a change was rejected in log order")
    RECORD_INVALID = (202, logging.ERROR, "a log record could not be read and was skipped")
    SNAPSHOT_WRITTEN = (203, logging.INFO, "a configuration snapshot was appended")
    CONFIGURATION_DIVERGED = (204, logging.ERROR, "a snapshot of the same version differs")
    SNAPSHOT_UNUSABLE = (209, logging.ERROR, "a damaged snapshot was skipped")
    STARTING_POINT_ADOPTED = (205, logging.INFO, "the state was loaded from a snapshot or peer")
    STARTING_POINT_MISSING = (206, logging.ERROR, "records are missing and no snapshot covers them")
    LOG_REGRESSED = (207, logging.ERROR, "the log ends before the applied offset; state kept")
    SNAPSHOT_FAILED = (208, logging.WARNING, "a configuration snapshot could not be appended")
    CONFIGURATION_RESTORED = (210, logging.WARNING, "an operator restored the configuration")
    TABLE_ADOPTED = (230, logging.INFO, "a published configuration is in force")
    TABLE_IGNORED = (231, logging.WARNING, "a published configuration is outdated")
    OPERATOR_REFUSED = (220, logging.WARNING, "an operator's request had no valid key")
    OPERATOR_CHANGE = (221, logging.INFO, "the outcome of an operator's change is known")
    OPERATOR_DRAIN = (222, logging.INFO, "an operator drains a router or a target")
    LOG_UNAVAILABLE = (300, logging.WARNING, "the log service did not answer")
    LOG_RECOVERED = (301, logging.INFO, "the log service answers again")
    FEED_LOST = (302, logging.WARNING, "a feed of the platform's store does not answer")
    FEED_REGAINED = (303, logging.INFO, "a feed of the platform's store answers again")
    FEED_TRIMMED = (304, logging.INFO, "records of a feed were trimmed; it is relisted")
    FEED_HEARD = (305, logging.INFO, "another router is ahead in a feed")
    FEED_FELL_BACK = (306, logging.WARNING, "the store rolled back to an older copy")
    FEEDS_CONFIRMED = (307, logging.WARNING, "after a stall requests waited for reads of feeds")
    MEMBER_CHANGED = (310, logging.INFO, "a router joined, left or changed its state")
    MEMBER_SUSPECTED = (311, logging.INFO, "a router did not answer probes")
    MEMBER_REFUTED = (312, logging.WARNING, "other routers suspected this one")
    MEMBER_NAME_TAKEN = (313, logging.ERROR, "a newer router uses the name of this one")
    ROUTER_PAUSED = (314, logging.WARNING, "this process was paused for some time")
    DATAGRAM_REFUSED = (320, logging.WARNING, "a datagram was refused")
    PEER_REFUSED = (321, logging.WARNING, "a link or a frame of a peer was refused")
    PEER_UNREACHABLE = (322, logging.INFO, "a link to a peer could not be opened")
    PEER_MESSAGE_INVALID = (323, logging.ERROR, "a message of a peer could not be read")
    PEER_MESSAGE_TOO_LARGE = (324, logging.ERROR, "a message was too large to be sent")
    VM_LIST_UNAVAILABLE = (330, logging.WARNING, "the VM list did not answer")
    VM_LIST_RECOVERED = (331, logging.INFO, "the VM list answers again")
    REQUEST_REFUSED = (400, logging.INFO, "a request was refused before it ran")
    ATTEMPT_FAILED = (401, logging.WARNING, "an attempt at a target failed")
    CALLER_GONE = (402, logging.INFO, "the caller left; its work is cancelled unless it resumes")
    STREAM_RESUMED = (403, logging.INFO, "a broken stream was resumed at its engine")
    CALLER_RESUMED = (404, logging.INFO, "a caller resumed a stream")
    REQUEST_ENDED = (405, logging.INFO, "a request got its final answer")
    STREAM_BROKEN = (406, logging.WARNING, "a stream to a caller was broken off")
    REFUSED_EARLY = (407, logging.INFO, "requests were refused before decoding; none ran")
    ANSWER_UNREAD = (408, logging.INFO, "a caller does not read; its answer is buffered")
    ANSWER_GIVEN_UP = (409, logging.WARNING, "an answer was aborted; its caller does not read")
    STREAM_NOT_RESUMED = (410, logging.INFO, "a caller's stream can't be resumed; nothing ran")
    STREAM_BEGAN = (411, logging.INFO, "a stream begins; its record is sent to its hosts")
    CONNECTIONS_OFFLOADED = (412, logging.INFO, "connections were passed on to other routers")
    REQUEST_CUT = (420, logging.WARNING, "a planned stop ended a request that was read")
    CLAIM_OUTCOME_UNKNOWN = (550, logging.WARNING, "a request was sent; its outcome is unknown")
    CLAIMS_TRIMMED = (551, logging.WARNING, "unread claim records were trimmed")
    CLAIM_END_DROPPED = (552, logging.ERROR, "the record of a claim's end was dropped")
    TARGET_EJECTED = (600, logging.WARNING, "a target was ejected after failed attempts")
    TARGET_LEAVING = (601, logging.INFO, "a target or its VM is leaving; it gets no new work")
    TARGET_RETURNED = (602, logging.INFO, "a target or its VM that was leaving has returned")
    TARGET_ANNOUNCED = (603, logging.INFO, "a target was announced")
    TARGET_REANNOUNCED = (604, logging.INFO, "a vanished target was announced again")
    TARGET_DRAINS = (605, logging.INFO, "a target is draining; it gets no new work")
    TARGET_VANISHED = (606, logging.INFO, "a target's announcement is gone")
    ENTRY_UNREADABLE = (607, logging.ERROR, "an entry of a feed or store can't be decoded")
    TARGET_REBORN = (608, logging.INFO, "a target restarted under the same id")
    OLD_LIFE_IGNORED = (609, logging.INFO, "an announcement of an earlier incarnation was ignored")
    DATA_CENTRE_EMPTIED = (620, logging.WARNING, "an operator evacuated a data centre")
    DATA_CENTRE_TAKEN_BACK = (621, logging.INFO, "an evacuated data centre is in use again")
    TARGET_SAYS_LEAVING = (622, logging.INFO, "a target reports in an answer that it is leaving")
    TARGET_ASKS_FOR_REST = (623, logging.WARNING, "a target asked this router to back off")
    KEEPER_SILENT = (624, logging.WARNING, "a slot owner did not answer in time")
    KEEPER_ANSWERS = (625, logging.INFO, "an unresponsive slot owner answers again")
    SHARE_PARENT_SILENT = (626, logging.WARNING, "reports of usage go to another router")
    SHARES_COMPUTED = (627, logging.INFO, "engines lack room for an account; sums of the fleet")
    ROUTER_LAGS = (628, logging.WARNING, "this router lags; others take over its duties")
    ROUTER_RECOVERED = (629, logging.INFO, "this router no longer lags; its duties return")
    TARGET_ENDED = (630, logging.WARNING, "a target crashed while running this request")
    REQUEST_BLOCKED = (631, logging.ERROR, "a request crashes targets; it is blocked for a while")
    REQUEST_CLEARED = (632, logging.INFO, "a request suspected of crashes completed")
    CRASHES_NOT_KEPT = (633, logging.WARNING, "crash counts of requests could not be stored")
    PARTS_BLOCKED = (634, logging.ERROR, "targets crash on a part of prompts; it is blocked")
    PARTS_CLEARED = (635, logging.INFO, "a blocked part of prompts is cleared")
    ORDER_LEASE_TAKEN = (610, logging.INFO, "this router holds the order lease")
    ORDER_LEASE_LOST = (611, logging.INFO, "this router lost the order lease")
    ORDER_SENT = (612, logging.INFO, "an engine accepted an order")
    ORDER_FAILED = (613, logging.WARNING, "an order was refused or not acknowledged")
    ORDER_CONFIRMED = (614, logging.INFO, "a target reports the ordered state")
    HANDLER_FAILED = (900, logging.ERROR, "a task or callback failed unexpectedly")

    @property
    def number(self) -> int:
        return self.value[0]

    @property
    def level(self) -> int:
        return self.value[1]

    @property
    def meaning(self) -> str:
        return self.value[2]


def emit(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Log an event with its fields, if its level is enabled."""
    if logger.isEnabledFor(event.level):
        logger.log(event.level, event.meaning, extra={"event": event, "fields": fields})


def event_of(record: logging.LogRecord) -> Event | None:
    """Return the event of a log record, ``None`` for records of other libraries."""
    return getattr(record, "event", None)

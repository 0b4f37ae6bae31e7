"""Settings of a router that serves routes."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.departure_terms import DepartureTerms


@frozen(kw_only=True)
class RetryTerms:
    """The retry budget of the whole fleet.

    Within each ``window`` of seconds, retries may reach ``ratio`` of the requests plus ``slack``.
    """

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 0.0


@frozen(kw_only=True)
class RoutedSettings:
    """Settings of one router; addresses are ``host:port``, times are seconds.

    ``grace`` is the time between the request to stop and the kill, ``share_window`` the time over
    which the usage of client accounts is compared. ``feed_pace`` is the minimum time between two
    reads of a feed that both return records, since each call has a cost. ``most_connections`` is
    the limit of open connections of callers, beyond which idle ones are closed. While the lag of
    the event loop exceeds ``most_lag``, new requests are refused, because latency objectives are a
    few hundred milliseconds. ``event_seconds`` is how long an event of a stream may take from its
    target to its caller, 0 if users set no limit. ``body_bytes`` bounds the request bodies in
    memory; ``memory_mb`` is the limit on memory that users state. ``config_apply`` is the time
    until a configuration is in force. At ``offload_listen`` other routers pass on connections of
    callers; without it none is passed on. ``first_start`` is true for routers that start together
    with the system.
    """

    name: str
    listen: str
    ready_listen: str
    store: str
    data_centre: str = ""
    peer_listen: str = ""
    offload_listen: str = ""
    metrics_listen: str = ""
    seeds: tuple[str, ...] = ()
    fleet_secret: tuple[str, ...] = field(default=(), repr=False)
    grace: float = 8.0
    retries: RetryTerms = RetryTerms()
    departures: DepartureTerms = DepartureTerms()
    config_apply: float = 2.0
    share_window: float = 4.0
    feed_pace: float = 0.5
    most_connections: int = 2000
    most_lag: float = 0.08
    event_seconds: float = 0.0
    body_bytes: int = 64 << 20
    memory_mb: float = 256.0
    first_start: bool = False

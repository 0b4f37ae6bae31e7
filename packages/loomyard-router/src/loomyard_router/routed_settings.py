"""What a router that serves routes is told at its start."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class RetryTerms:
    """The budget of the whole fleet: retries up to ``ratio`` of the requests, and ``slack`` more.

    It holds within each ``window`` of seconds.
    """

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 0.0


@frozen(kw_only=True)
class RoutedSettings:
    """Addresses are ``host:port``, times are seconds.

    ``grace`` is the time between the request to stop and the kill, ``share_window`` the time over
    which shares of client accounts are compared. ``feed_pace`` is the least time between two reads
    of a feed that both bring something, since each call has its price. ``most_connections`` bounds
    the open connections of callers; beyond it those that rest are closed. While what is ready waits
    for longer than ``most_lag``, what comes is refused: an objective is a few hundred milliseconds.
    ``event_seconds`` is how long an event of a stream may take from its target to its caller, 0
    where users do not say. ``body_bytes`` bounds the request bodies that are held at once.
    """

    name: str
    listen: str
    ready_listen: str
    store: str
    data_centre: str = ""
    peer_listen: str = ""
    metrics_listen: str = ""
    seeds: tuple[str, ...] = ()
    fleet_secret: tuple[str, ...] = field(default=(), repr=False)
    grace: float = 8.0
    retries: RetryTerms = RetryTerms()
    share_window: float = 4.0
    feed_pace: float = 0.5
    most_connections: int = 2000
    most_lag: float = 0.08
    event_seconds: float = 0.0
    body_bytes: int = 64 << 20

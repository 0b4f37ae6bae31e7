"""Name resolution that starts no thread for IP numbers."""

from __future__ import annotations

import _socket
import ipaddress
from typing import Any

from gevent.resolver.thread import Resolver


class NumericResolver(Resolver):
    """Answer for IP numbers at once, as that reads nothing; look names up in a thread."""

    def getaddrinfo(self, *args: Any, **kwargs: Any) -> Any:
        host = args[0] if args else kwargs.get("host")
        if _is_number(host):
            return _socket.getaddrinfo(*args, **kwargs)
        return super().getaddrinfo(*args, **kwargs)

    def gethostbyname(self, *args: Any) -> Any:
        if _is_number(args[0]):
            return _socket.gethostbyname(*args)
        return super().gethostbyname(*args)


def _is_number(host: Any) -> bool:
    """Tell whether a host needs no look-up; an absent or empty one is an address to listen at."""
    if not host:
        return True
    try:
        ipaddress.ip_address(host.decode("ascii") if isinstance(host, bytes) else host)
    except ValueError:
        return False
    return True

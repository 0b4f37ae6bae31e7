"""The open links of a router."""

from __future__ import annotations

from attrs import define, field

from loomyard_router.peers.link import PeerLink


@define(eq=False)
class LinkTable:
    """Links by the name of the peer, which are two where both sides opened one."""

    _links: dict[str, list[PeerLink]] = field(factory=dict)

    def add(self, link: PeerLink) -> None:
        """Add an open link."""
        self._links.setdefault(link.peer.name, []).append(link)

    def remove(self, link: PeerLink) -> None:
        """Remove a link that ended."""
        links = self._links[link.peer.name]
        links.remove(link)
        if not links:
            del self._links[link.peer.name]

    def find(self, name: str) -> PeerLink | None:
        """Return the link to send on; of two links both sides choose the same one."""
        links = [link for link in self._links.get(name, ()) if not link.closed]
        return min(links, key=lambda link: (-link.peer.incarnation, link.opener), default=None)

    def all(self) -> list[PeerLink]:
        """Return all links to all peers."""
        return [link for links in self._links.values() for link in links]

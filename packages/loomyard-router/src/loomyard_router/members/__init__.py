"""Membership: which routers the fleet has and whether they are alive."""

"""Tests of relays."""

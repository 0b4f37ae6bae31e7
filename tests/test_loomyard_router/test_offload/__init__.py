"""Tests of connections passed on to other routers."""

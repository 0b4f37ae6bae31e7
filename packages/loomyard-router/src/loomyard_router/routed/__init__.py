"""Requests on routes: decoding, attempts at targets, retries, relay of the answer."""

"""Requests on routes: reading, sending, repeating, relaying, answering."""

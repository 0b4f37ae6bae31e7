"""Requests of client accounts, from arrival to outcome."""

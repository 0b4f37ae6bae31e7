"""Routers whose event loop lags: what tells so, and what the others then do for them."""

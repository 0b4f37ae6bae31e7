"""The start of a router process: signals before the event loop, ports, how long each part took."""

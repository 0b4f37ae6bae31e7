"""Memory and descriptors of the process: what it reserves, its limits, and shortages."""

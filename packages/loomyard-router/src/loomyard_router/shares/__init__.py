"""Who may send next: the share policies."""

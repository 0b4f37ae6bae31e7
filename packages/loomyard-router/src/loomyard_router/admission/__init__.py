"""Which request goes next and to which target: full targets, fair shares."""

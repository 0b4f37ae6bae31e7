"""Standard descriptors of a process that was started without some of them."""

from __future__ import annotations

import os

STDIN, STDOUT, STDERR = 0, 1, 2


def fill_standard_descriptors() -> None:
    """Open the null device for closed ones, else a connection gets the number of the output."""
    for number in (STDIN, STDOUT, STDERR):
        try:
            os.fstat(number)
        except OSError:
            # The lowest free number is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)

"""Measure every probe at its sizes, one process for each point, and fit straight lines."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402

import attrs  # noqa: E402
from gevent import subprocess  # noqa: E402

from loomyard_standins.benches.slopes.fit import fit_line  # noqa: E402
from loomyard_standins.benches.slopes.probes import PROBES  # noqa: E402
from loomyard_standins.benches.slopes.sample import Sample  # noqa: E402

POINT_TIMEOUT_SECONDS = 60


def main() -> int:
    """Run all probes, one probe or, with ``--size``, one point of a probe."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--probe", choices=sorted(PROBES))
    parser.add_argument("--size", type=int)
    arguments = parser.parse_args()
    if arguments.size is not None:
        print(json.dumps(attrs.asdict(PROBES[arguments.probe].measure(arguments.size))))
        return 0
    names = [arguments.probe] if arguments.probe else list(PROBES)
    print(json.dumps({name: _run(name) for name in names}))
    return 0


def _run(name: str) -> dict[str, object]:
    samples = [_point(name, size) for size in PROBES[name].sizes]
    fits = {}
    for quantity in samples[0].quantities:
        fit = fit_line(samples, quantity)
        fits[quantity] = attrs.asdict(fit)
        values = ", ".join(f"{s.size}: {s.quantities[quantity]:.6g}" for s in samples)
        print(
            f"{name:24} {quantity:28} {fit.intercept:12.6g} + {fit.slope:12.6g} x size"
            f"  residual {fit.residual:6.1%}  [{values}]",
            flush=True,
        )
    return {"sizes": [sample.size for sample in samples], "fits": fits}


def _point(name: str, size: int) -> Sample:
    command = [sys.executable, "-m", __package__, "--probe", name, "--size", str(size)]
    output = subprocess.check_output(command, timeout=POINT_TIMEOUT_SECONDS)
    return Sample(**json.loads(output.splitlines()[-1]))


if __name__ == "__main__":
    sys.exit(main())

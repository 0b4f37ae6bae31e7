"""Check that names of the platform's protocol occur only in the folder of its adapter."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

from attrs import frozen

PACKAGES = ("loomyard", "loomyard-router", "loomyardctl")
ADAPTER = "loomyard_router/platform"
ADAPTER_MODULE = "loomyard_router.platform"
# Headers, paths, topics and fields of the platform that equal no name of this project.
PLATFORM_NAMES = re.compile(
    r"Loomyard-(?:Attempt-Id|Deadline-Ms|Tenant|Token-Usage|Prompt-Prefix|Length-Hint"
    r"|Expect-|Not-Executed|Server-Stamp|Instance-Id|Model|Weight-Versions|Pin-Ms|Hold|Kv-)"
    r"|Server-Leaving"
    r"|/log-(?:read|newest|append|join|commit|owners|trim)|keyed\.(?:op|servers|status)"
    r"|\b(?:path_prefix|route_kind|timeout_ms|slo_ms|gap_slo_ms|max_conns|api_keys|tls_key"
    r"|kv_capacity|idle_timeout_ms|header_timeout_ms|max_header_bytes|tokens_per_s|node_name)\b",
    re.IGNORECASE,
)


@frozen(kw_only=True)
class LeakedName:
    """Use of a platform name, or import of the adapter, outside the adapter."""

    path: Path
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: platform name or import outside the adapter: {self.text}"


def find_leaked_names(root: Path) -> list[LeakedName]:
    """Return the platform names and adapter imports in the packages below a folder."""
    leaks = []
    for package in PACKAGES:
        for path in sorted((root / package / "src").rglob("*.py")):
            if ADAPTER not in path.as_posix():
                leaks += find_in_source(path, path.read_text(encoding="utf-8"))
    return leaks


def find_in_source(path: Path, source: str) -> list[LeakedName]:
    """Return the platform names and adapter imports in the source of one module."""
    leaks = [
        LeakedName(path=path, line=number, text=found[0])
        for number, line in enumerate(source.splitlines(), 1)
        if (found := PLATFORM_NAMES.search(line))
    ]
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        leaks += [
            LeakedName(path=path, line=node.lineno, text=name)
            for name in names
            if name.startswith(ADAPTER_MODULE)
        ]
    return leaks


def main() -> int:
    """Print all findings below the folder given as argument; fail if there are any."""
    leaks = find_leaked_names(Path(sys.argv[1]))
    for leak in leaks:
        print(leak)
    return 1 if leaks else 0


if __name__ == "__main__":
    sys.exit(main())

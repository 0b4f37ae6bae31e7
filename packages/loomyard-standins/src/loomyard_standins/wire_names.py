"""Check that the platform's names stand in the adapter's folder alone."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

from attrs import frozen

PACKAGES = ("loomyard", "loomyard-router", "loomyardctl")
ADAPTER = "loomyard_router/platform"
ADAPTER_MODULE = "loomyard_router.platform"
# Headers, paths, topics and fields of the platform's pages that no name of ours equals.
WIRE = re.compile(
    r"Loomyard-(?:Attempt-Id|Deadline-Ms|Tenant|Token-Usage|Prompt-Prefix|Length-Hint"
    r"|Expect-|Not-Executed|Server-Stamp|Instance-Id|Model|Weight-Versions|Pin-Ms|Hold|Kv-)"
    r"|Server-Leaving"
    r"|/log-(?:read|newest|append|join|commit|owners|trim)|keyed\.(?:op|servers|status)"
    r"|\b(?:path_prefix|route_kind|timeout_ms|slo_ms|gap_slo_ms|max_conns|api_keys|tls_key"
    r"|kv_capacity|idle_timeout_ms|header_timeout_ms|max_header_bytes|tokens_per_s|node_name)\b",
    re.IGNORECASE,
)


@frozen(kw_only=True)
class Stray:
    """A place where the platform shows outside its adapter."""

    path: Path
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: the platform's name or adapter: {self.text}"


def find_strays(root: Path) -> list[Stray]:
    """Return names of the wire and imports of the adapter in the packages below a folder."""
    strays = []
    for package in PACKAGES:
        for path in sorted((root / package / "src").rglob("*.py")):
            if ADAPTER not in path.as_posix():
                strays += find_in_source(path, path.read_text(encoding="utf-8"))
    return strays


def find_in_source(path: Path, source: str) -> list[Stray]:
    """Return the strays of one module."""
    strays = [
        Stray(path=path, line=number, text=found[0])
        for number, line in enumerate(source.splitlines(), 1)
        if (found := WIRE.search(line))
    ]
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        strays += [
            Stray(path=path, line=node.lineno, text=name)
            for name in names
            if name.startswith(ADAPTER_MODULE)
        ]
    return strays


def main() -> int:
    """Print the strays below a folder; fail where there are any."""
    strays = find_strays(Path(sys.argv[1]))
    for stray in strays:
        print(stray)
    return 1 if strays else 0


if __name__ == "__main__":
    sys.exit(main())

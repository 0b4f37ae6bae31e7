"""The platform's names: headers, paths, topics and what a name does not say."""

from __future__ import annotations

# Lower-case beginnings of all headers that mean something to the platform itself.
PLATFORM_PREFIXES = ("loomyard-", "kv-")
ATTEMPT_ID = "Loomyard-Attempt-Id"
DEADLINE_MS = "Loomyard-Deadline-Ms"
# The client account, by its name; the platform calls accounts tenants.
ACCOUNT = "Loomyard-Tenant"
MODEL = "Loomyard-Model"
# Prompt tokens and the most tokens to generate, with a comma; nothing is "used" yet.
TOKEN_USAGE = "Loomyard-Token-Usage"
PROMPT_PARTS = "Loomyard-Prompt-Prefix"
LENGTH_HINT = "Loomyard-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
# The life of a target that alone may run the request.
EXPECTED_TARGET = "Loomyard-Expect-Instance"
# The id of the target that answers for its health.
INSTANCE = "Loomyard-Instance-Id"
# The target's word that it did not run the request.
NOT_RUN = "Loomyard-Not-Executed"
STAMP = "Loomyard-Server-Stamp"
RETRY_AFTER = "Retry-After"
# In all answers of a target that leaves.
LEAVING = "Server-Leaving"
IS_LEAVING = "1"
# In all answers of the store; it rises by one each time that came back from an older copy.
STORE_ERA = "Store-Era"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Bearer "

READY_PATH = "/readyz"

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Before the name of a data centre whose targets are to get nothing.
EMPTYING_PREFIX = "evacuate/"
TARGETS_TOPIC = "keyed.servers"
# Of the routers' own: what has to outlive all of them.
CRASHES_TOPIC = "keyed.crashes"

SETTINGS_VARIABLE = "LOOMYARD_NODE_FILE"

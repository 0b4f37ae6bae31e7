"""Names of the platform: headers, paths, topics, keys and environment variables."""

from __future__ import annotations

# Lower-case prefixes of all headers that are reserved for the platform.
PLATFORM_PREFIXES = ("loomyard-", "kv-")
ATTEMPT_ID = "Loomyard-Attempt-Id"
DEADLINE_MS = "Loomyard-Deadline-Ms"
# The name of the client account, which the platform calls a tenant.
ACCOUNT = "Loomyard-Tenant"
MODEL = "Loomyard-Model"
# Prompt tokens and the limit of tokens to generate, separated by a comma.
TOKEN_USAGE = "Loomyard-Token-Usage"
PROMPT_PARTS = "Loomyard-Prompt-Prefix"
LENGTH_HINT = "Loomyard-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
# The id of the attempt that brought the first event of the stream which a request continues.
RESUMED_ATTEMPT = "Resumes"
# The id of the only target that may run the request; another target at the address refuses it.
EXPECTED_TARGET = "Loomyard-Expect-Instance"
# The id of the target that answers a health check.
INSTANCE = "Loomyard-Instance-Id"
# Present in the answer of a target that did not execute the request.
NOT_EXECUTED = "Loomyard-Not-Executed"
# Marks a success as the answer of a target, not of something in between.
STAMP = "Loomyard-Server-Stamp"
RETRY_AFTER = "Retry-After"
# In all answers of a target that is leaving.
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
# In all answers of the store; it rises by one each time the store is rolled back to an older copy.
STORE_ERA = "Store-Era"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Bearer "

READY_PATH = "/readyz"

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Precedes the name of an evacuated data centre, whose targets get no new requests.
EVACUATION_PREFIX = "evacuate/"
TARGETS_TOPIC = "keyed.servers"
# Written by the routers themselves: records of crashes that have to outlive all routers.
CRASHES_TOPIC = "keyed.crashes"
# The same for parts of prompts.
PART_CRASHES_TOPIC = "keyed.part-crashes"

SETTINGS_VARIABLE = "LOOMYARD_NODE_FILE"

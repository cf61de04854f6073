"""Names of the HTTP headers that callers, entries and targets exchange."""

REQUEST_ID = "x-zinniadyke-request-id"
API_KEY = "x-zinniadyke-key"
# Milliseconds that the sender will wait, counted from the sending.
DEADLINE_MS = "x-zinniadyke-deadline-ms"
WORKSPACE = "x-zinniadyke-tenant"
# Id of the only target that may run the request.
EXPECTED_TARGET = "x-zinniadyke-expect-instance"
# Version of the weights that the request must run on.
EXPECTED_WEIGHTS = "x-zinniadyke-expect-version"
# 0 to 9; 0 is admitted first.
ENGINE_PRIORITY = "x-zinniadyke-request-priority"
# Servers that run parts of the model; callers have no say in it.
LAYER_PATH = "path"
MODEL = "x-zinniadyke-model"
# Prompt tokens and most output tokens.
TOKEN_COUNTS = "x-zinniadyke-token-counts"
PREFIX_HASH = "x-zinniadyke-prefix-hash"
# The target's signature on its answer.
SIGNATURE = "x-zinniadyke-server-stamp"
# The target did not run the request.
NOT_RUN = "x-zinniadyke-not-executed"
# Requests running, requests waiting, slots.
TARGET_LOAD = "x-zinniadyke-server-load"
# Version of the weights that the answer was made with.
WEIGHTS_VERSION = "x-zinniadyke-weight-versions"
LAST_EVENT_ID = "last-event-id"

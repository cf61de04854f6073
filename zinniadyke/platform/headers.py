"""Names of HTTP headers between callers, entries and targets."""

REQUEST_ID = "x-zinniadyke-request-id"
API_KEY = "x-zinniadyke-key"
# Milliseconds that the sender will wait, from the time of sending.
DEADLINE_MS = "x-zinniadyke-deadline-ms"
WORKSPACE = "x-zinniadyke-tenant"
# Id of the only target that may run the request.
EXPECTED_TARGET = "x-zinniadyke-expect-instance"
# Version of the weights that the request must run on.
EXPECTED_WEIGHTS = "x-zinniadyke-expect-version"
# Integer from 0 to 9; 0 is admitted first.
ENGINE_PRIORITY = "x-zinniadyke-request-priority"
MAX_ENGINE_PRIORITY = 9
# Servers that run parts of the model; never forwarded from callers.
LAYER_PATH = "path"
MODEL = "x-zinniadyke-model"
# Number of prompt tokens and largest number of output tokens.
TOKEN_COUNTS = "x-zinniadyke-token-counts"
# Estimated number of output tokens.
LENGTH_HINT = "x-zinniadyke-length-hint"
PREFIX_HASH = "x-zinniadyke-prefix-hash"
# The target's signature on its answer.
SIGNATURE = "x-zinniadyke-server-stamp"
# Present if the target did not run the request.
NOT_RUN = "x-zinniadyke-not-executed"
# "1" in each answer of a target that is leaving.
LEAVING = "server-leaving"
# In a 503: seconds for which the target wants no request from this host.
RETRY_AFTER = "retry-after"
# Requests a second that the target takes from all entries together, for as
# long as its answers say so.
TARGET_LIMIT = "server-limit"
# Numbers of running requests, waiting requests and slots; some targets add how
# long work takes on their host at this moment, where 100 is usual.
TARGET_LOAD = "x-zinniadyke-server-load"
# Milliseconds for which the target is still cold.
COLD_MS = "x-zinniadyke-cold-ms"
# Version of the weights that generated the answer.
WEIGHTS_VERSION = "x-zinniadyke-weight-versions"
LAST_EVENT_ID = "last-event-id"

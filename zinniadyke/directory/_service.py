"""Services of a configuration, their engines and their origin."""

import msgspec

from zinniadyke import ids

# Largest number of prompt tokens in a step of engines that state none.
PREFILL_CHUNK_TOKENS = 2048


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and capacity of the model engines of a service.

    Attributes
    ----------
    slots
        Requests that an engine runs concurrently.
    kv_cache_tokens
        Capacity of its KV cache, in tokens.
    step_s
        Base duration of a token step, in seconds.
    step_per_request_s, step_per_context_token_s
        Added to a token step for each request that generates tokens, and
        for each token of its context, in seconds.
    prefill_tokens_per_s
        Prompt tokens processed per second.
    prefill_pair_s
        Added to the prefill for each pair of prompt tokens, in seconds.
    steps_per_pass
        Token steps of one pass; each pass ends with one stream event.
    models
        Names of the models that the engines hold.
    layers
        Number of layers of the model.
    chunks
        Number of pieces of the weights; 0 if they are not split.
    chunk_bytes
        Size of a piece.
    mean_prompt_tokens, mean_answer_tokens
        Mean number of tokens of a request's prompt and answer.
    prefill_chunk_tokens
        Largest number of prompt tokens that a token step processes.
    """

    slots: int
    kv_cache_tokens: int
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_pair_s: float
    steps_per_pass: int
    models: tuple[ids.ModelName, ...]
    layers: int
    chunks: int
    chunk_bytes: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    prefill_chunk_tokens: int = PREFILL_CHUNK_TOKENS


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """The server that weights are downloaded from.

    Attributes
    ----------
    address
        ``ip:port``.
    max_connections
        Connections that it accepts from all clients together.
    """

    address: str
    zone: ids.ZoneName
    link_mbps: float
    max_connections: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a configuration.

    Attributes
    ----------
    cold_s
        Time in seconds for which its targets are cold after a start.
    cold_per_s
        Requests a second that a cold target takes from all entries together;
        0 if there is no limit.
    """

    name: ids.ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    origin: Origin | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0

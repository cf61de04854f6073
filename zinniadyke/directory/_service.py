"""A service as the configuration describes it."""

import msgspec

from zinniadyke import ids


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and memory of a service's model engines.

    Attributes
    ----------
    slots
        Requests that an engine runs at once.
    kv_cache_tokens
        Tokens that its request memory holds.
    step_s
        Time of a token step, in seconds.
    step_per_request_s, step_per_context_token_s
        What each writing request, and each token of its context, adds.
    prefill_tokens_per_s
        Prompt tokens that are read in a second.
    prefill_pair_s
        What each pair of a prompt's tokens adds to reading, in seconds.
    steps_per_pass
        Token steps of a pass, which end in one stream event.
    models
        Names of the models that the engines hold.
    layers
        Layers of the model.
    chunks
        Pieces that the weights consist of; 0 if they come whole.
    chunk_bytes
        Length of a piece.
    mean_prompt_tokens, mean_answer_tokens
        Mean sizes of requests.
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


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """Where weights come from.

    Attributes
    ----------
    address
        ``ip:port``.
    max_connections
        Connections that it takes from all callers together.
    """

    address: str
    zone: ids.ZoneName
    link_mbps: float
    max_connections: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a configuration."""

    name: ids.ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    origin: Origin | None = None

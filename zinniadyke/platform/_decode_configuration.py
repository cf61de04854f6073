"""Decodes the operator's configuration."""

import msgspec

from zinniadyke import decoding
from zinniadyke import directory
from zinniadyke import ids
from zinniadyke.platform import _store

MS_PER_S = 1000.0
TOKENS_PER_CONTEXT_UNIT = 1000.0
PAIRS_PER_UNIT = 1e6
# Default timeout of a route, and so its latency objective if it sets neither.
DEFAULT_TIMEOUT_MS = 30000.0


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str = "non_idempotent"
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    allowed_regions: list[str] = []


class _Usual(msgspec.Struct):
    # Mean token counts.
    prompt: float = 0.0
    answer: float = 0.0


class _EngineModel(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    # ms per 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    # ms per million pairs of a token and an earlier token.
    pairs_per_m: float = 0.0
    stride: int = 1
    # Largest number of prompt tokens in a step.
    chunk: float = 2048.0
    models: list[_EngineModel] = []
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0
    usual: _Usual = msgspec.field(default_factory=_Usual)


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    origin: str | None = None
    zone: str = ""
    link_mbps: float = 0.0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_configuration(
    stored: _store.StoreObject,
) -> directory.ServingConfiguration:
    """Return the configuration that an object contains.

    Raises
    ------
    ValueError
        The object cannot be decoded.
    """
    try:
        decoded = msgspec.json.decode(stored.spec, type=_Configuration)
    except decoding.UNREADABLE as error:
        raise ValueError(str(error))
    return directory.ServingConfiguration(
        version=ids.ConfigurationVersion(decoded.version),
        routes=directory.index_routes([_route(r) for r in decoded.routes]),
        services={
            ids.ServiceName(s.name): _service(s) for s in decoded.services
        },
        limits=directory.CallerLimits(
            max_header_bytes=decoded.limits.max_header_bytes,
            max_body_bytes=decoded.limits.max_body_bytes,
            header_timeout_s=decoded.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=decoded.limits.idle_timeout_ms / MS_PER_S,
        ),
        workspaces=_workspaces(decoded.tenants),
    )


def _workspaces(tenants) -> dict[str, directory.Workspace] | None:
    if tenants is None:
        return None
    return {
        key: directory.Workspace(
            name=ids.WorkspaceName(tenant.name),
            priority=tenant.priority,
            allowed_regions=_regions(tenant.allowed_regions),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _route(wire: _Route) -> directory.Route:
    splits = wire.traffic_split or [_Split(service=wire.service)]
    return directory.Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        retry_mode=_retry_mode(wire),
        streaming=wire.kind == "streaming",
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=(wire.target_latency_ms or wire.timeout_ms) / MS_PER_S,
        max_gap_s=wire.target_gap_ms / MS_PER_S,
        max_attempts=max(wire.max_attempts, 1),
        priority=wire.priority,
        public=wire.public,
        backends=tuple(
            directory.Backend(
                service=ids.ServiceName(s.service), weight=s.weight
            )
            for s in splits
            if s.service
        ),
        allowed_regions=_regions(wire.allowed_regions),
    )


def _regions(names: list[str]) -> frozenset[ids.RegionName] | None:
    """Return the named regions; None, which allows all, without names."""
    return frozenset(ids.RegionName(n) for n in names) or None


def _retry_mode(wire: _Route) -> directory.RetryMode:
    if wire.kind == "idempotent":
        return directory.RetryMode.RETRY
    if wire.kind == "streaming" and wire.stream_resume:
        return directory.RetryMode.RESUME
    return directory.RetryMode.NEVER


def _service(wire: _Service) -> directory.Service:
    origin = None
    if wire.origin:
        origin = directory.Origin(
            address=wire.origin,
            zone=ids.ZoneName(wire.zone),
            link_mbps=wire.link_mbps,
            max_connections=wire.max_connections,
        )
    return directory.Service(
        name=ids.ServiceName(wire.name),
        max_connections=wire.max_connections,
        engine=_engine(wire.engine) if wire.engine else None,
        origin=origin,
        cold_s=max(wire.cold_s, 0.0),
        cold_per_s=max(wire.cold_per_s, 0.0),
    )


def _engine(wire: _Engine) -> directory.EngineProfile:
    return directory.EngineProfile(
        slots=wire.slots,
        kv_cache_tokens=wire.kv_capacity_tokens,
        step_s=wire.step_ms / MS_PER_S,
        step_per_request_s=wire.per_seq_ms / MS_PER_S,
        step_per_context_token_s=(
            wire.context_per_k / MS_PER_S / TOKENS_PER_CONTEXT_UNIT
        ),
        prefill_tokens_per_s=wire.read_per_s,
        prefill_pair_s=wire.pairs_per_m / MS_PER_S / PAIRS_PER_UNIT,
        steps_per_pass=wire.stride,
        models=tuple(ids.ModelName(m.name) for m in wire.models),
        layers=wire.layers,
        chunks=wire.chunks,
        chunk_bytes=wire.chunk_bytes,
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
        prefill_chunk_tokens=max(int(wire.chunk), 1),
    )

"""Property tests with generated input that is the same in each run."""

import hypothesis
from hypothesis import strategies as st

from zinniadyke import control
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import weights

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9_.\-]{0,8}", fullmatch=True)
TEXTS = st.text(max_size=20)
ROUTES = st.builds(
    objects.Route,
    model=TEXTS,
    classes=st.lists(TEXTS, max_size=3),
    versions=st.dictionaries(NAMES, st.integers(0, 100), max_size=3),
    priority=st.integers(0, 5),
)
LIMITS = st.builds(
    objects.Limit,
    rate=st.floats(0, 1e6, allow_nan=False),
    concurrency=st.integers(0, 1000),
)


@SETTINGS
@hypothesis.given(name=NAMES, scope=NAMES, value=ROUTES | LIMITS)
def test_parsing_a_rendered_object_returns_the_same_object(name, scope, value):
    kind = "route" if isinstance(value, objects.Route) else "limit"
    key = objects.ObjectKey(kind=kind, scope=scope, name=name)
    text = language.render_object(key, value)
    changes = language.to_changes(
        language.parse(text), objects.Configuration()
    )
    assert [(c.key, c.value) for c in changes] == [(key, value)]


STEPS = st.lists(
    st.dictionaries(
        st.sampled_from([f"workspace//w{n}" for n in range(4)]),
        st.none() | st.integers(1, 9),
        min_size=1,
        max_size=3,
    ),
    min_size=1,
    max_size=12,
)


@SETTINGS
@hypothesis.given(steps=STEPS, rng=st.randoms(use_true_random=False))
def test_store_reaches_latest_revision_in_any_delta_order(steps, rng):
    source = control.ConfigStore()
    deltas = []
    for revision, step in enumerate(steps, 1):
        delta = peers.Delta(
            base=revision - 1,
            revision=revision,
            changed={k: b'{"share": %d}' % v for k, v in step.items() if v},
            removed=[k for k, v in step.items() if not v],
        )
        source.install(delta)
        deltas.append(delta)
        deltas.append(source.delta_from(0))
    replica = control.ConfigStore()
    rng.shuffle(deltas)
    for delta in [*deltas, source.delta_from(0)]:
        revision_before = replica.revision
        replica.install(delta)
        assert replica.revision >= revision_before
    assert replica.configuration.objects == source.configuration.objects


@SETTINGS
@hypothesis.given(
    sizes=st.lists(st.integers(1, 9), min_size=1, max_size=5),
    index=st.integers(-1, 500),
    copies=st.sampled_from([1.0, 1.5, 4.0]),
)
def test_chunk_sources_of_hosts_form_no_cycle(sizes, index, copies):
    hosts = [
        platform.Host(
            name=f"{zone}-{n}",
            role=platform.HostRole.TARGET,
            zone=f"z{zone}",
            region="r",
            peer="127.0.0.1:1",
        )
        for zone, count in enumerate(sizes)
        for n in range(count)
    ]
    placement = weights.Placement.of(hosts, "m/1")
    sources = {
        host.name: weights.candidates(placement, index, host.name, copies)
        for host in hosts
    }
    for name in sources:
        steps = 0
        while sources[name]:
            name = sources[name][0].name
            steps += 1
            assert steps <= len(hosts)

"""Byte and message counts of a small rollout, without times."""

import pytest

from zinniadyke import bench
from zinniadyke import objects

MAX_ORIGIN_COPIES = {objects.Favour.ORIGIN: 1.05, objects.Favour.TIME: 4.0}
MAX_MESSAGES_PER_HOST_CHUNK = 6


@pytest.mark.parametrize("favour", list(objects.Favour))
def test_bytes_and_messages_stay_within_their_bounds(favour):
    result = bench.run_rollout(
        bench.RolloutOptions(
            hosts=6, size=1 << 20, chunks=24, favour=favour, wanted_s=2.0
        )
    )
    assert len(result.serving_s) == 6
    assert result.origin_copies <= MAX_ORIGIN_COPIES[favour]
    assert result.messages_per_host_chunk <= MAX_MESSAGES_PER_HOST_CHUNK
    assert result.cross_zone_copies <= 2.01


def test_every_strategy_stages_all_hosts():
    for name in bench.STRATEGIES:
        result = bench.run_rollout(
            bench.RolloutOptions(
                hosts=4,
                size=1 << 18,
                chunks=8,
                strategy=name,
                wanted_s=0.5,
            )
        )
        assert len(result.staged_s) == 4, name

import hashlib

import eventlet
import pytest

from zinniadyke import errors
from zinniadyke import weights

BLOB = bytes(range(256)) * 10
MANIFEST = weights.build_manifest(BLOB, 1000)
ENCODED = MANIFEST.encode()


def new_stage():
    return weights.StagingArea(digest=hashlib.sha256(ENCODED).hexdigest())


def test_only_verified_chunks_are_kept_and_chunks_join_to_the_blob():
    stage = new_stage()
    with pytest.raises(errors.WeightsError):
        stage.add(0, BLOB[:1000])
    stage.add(weights.MANIFEST_INDEX, ENCODED)
    with pytest.raises(errors.WeightsError) as caught:
        stage.add(0, b"x" + BLOB[1:1000])
    assert caught.value.code is errors.ResultCode.CHUNK_CORRUPT
    for index in range(3):
        assert not stage.complete
        with pytest.raises(errors.WeightsError):
            list(stage.iter_chunks())
        start, size = MANIFEST.span(index)
        stage.add(index, BLOB[start : start + size])
    assert stage.complete
    assert b"".join(stage.iter_chunks()) == BLOB


def test_wait_returns_the_chunk_or_none_once_closed():
    stage = new_stage()
    first = eventlet.spawn(stage.wait, weights.MANIFEST_INDEX)
    second = eventlet.spawn(stage.wait, 0)
    eventlet.sleep(0)
    stage.add(weights.MANIFEST_INDEX, ENCODED)
    assert first.wait() == ENCODED
    stage.close()
    assert second.wait() is None


@pytest.mark.parametrize(
    "changes", [{"chunk_size": 0}, {"size": 10**6}, {"size": 1}]
)
def test_inconsistent_manifest_is_rejected(changes):
    fields = {"chunks": MANIFEST.chunks, "content": "", "size": len(BLOB)}
    manifest = weights.Manifest(**{"chunk_size": 1000, **fields, **changes})
    with pytest.raises(errors.WeightsError):
        weights.Manifest.decode(manifest.encode())


def test_suspend_keeps_chunks_and_wakes_waiting_tasks():
    stage = new_stage()
    stage.add(weights.MANIFEST_INDEX, ENCODED)
    waiting = eventlet.spawn(stage.wait, 0)
    eventlet.sleep(0)
    stage.suspend()
    assert waiting.wait() is None
    assert stage.wait(weights.MANIFEST_INDEX) == ENCODED
    stage.resume()
    stage.add(0, BLOB[:1000])
    assert stage.wait(0) == BLOB[:1000]

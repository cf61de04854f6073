import pytest

from zinniadyke import errors
from zinniadyke import settings

VALID = """
[platform]
url = "http://127.0.0.1:1"
[agent]
name = "a"
zone = "cairo"
region = "egypt"
service = "drafting"
peer = "127.0.0.1:7001"
engine = "http://127.0.0.1:2"
"""


def load(tmp_path, text):
    path = tmp_path / "agent.toml"
    path.write_text(text)
    return settings.load(str(path))


def test_valid_settings_have_types_and_defaults(tmp_path):
    loaded = load(tmp_path, VALID)
    assert loaded.agent.staging_mib == 1024
    assert loaded.entry is None
    assert loaded.log.level.value == "info"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("zone = ", "zone = 3 #"), "agent.zone: Expected `str`, got `int`"),
        (("zone = ", "zon = "), "unknown field `zon`"),
        (("zone = ", "zon = "), "allowed: burst_kib, download_mib_s"),
        (("[platform]", "[plat]"), "allowed: agent, entry, fake"),
        (
            ("[platform]", '[log]\nlevel = "loud"\n[platform]'),
            "log.level: Invalid enum value 'loud' (found 'loud');"
            " allowed: debug, info, warning, error",
        ),
        (('"127.0.0.1:7001"', '"host:7001"'), "agent.peer: expected an IP"),
        (('"127.0.0.1:7001"', '"127.0.0.1:70010"'), "(found '127.0.0.1:70"),
        (("[agent]", "[agent"), "agent.toml: "),
    ],
)
def test_errors_name_the_file_key_and_found_value(tmp_path, change, expected):
    with pytest.raises(errors.SettingsError) as caught:
        load(tmp_path, VALID.replace(*change))
    assert "agent.toml" in caught.value.message
    assert expected in caught.value.message


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(errors.SettingsError, match="No such file"):
        settings.load(str(tmp_path / "none.toml"))

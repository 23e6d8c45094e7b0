import msgspec
import pytest
from chalkyoke import settings
from chalkyoke.exceptions import SettingsError
from chalkyoke.scheduling.placement import Features

GOOD = """
[node]
host = "entry-1"
failure_domain = "d1"
[listen]
callers = "127.0.0.1:8080"
links = "127.0.0.1:7000"
administration = "127.0.0.1:9000"
[platform]
store_url = "http://127.0.0.1:8500"
hosts_url = "http://127.0.0.1:8600/v1/hosts"
[fleet]
key_hex = "00112233445566778899aabbccddeeff"
"""


def load(tmp_path, text, environment=None):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return settings.load(path, environment or {})


def test_valid_settings_are_loaded(tmp_path):
    loaded = load(tmp_path, GOOD)
    assert loaded.node.host == "entry-1"
    assert loaded.timing.heartbeat_interval_s == 0.25
    assert len(loaded.fleet.key) == 16


def test_all_mistakes_are_reported_with_the_nearest_known_name(tmp_path):
    text = (
        GOOD.replace("callers =", "caller =").replace("0011", "zz11")
        + "[timing]\nheartbeat_s = 1\n"
    )
    with pytest.raises(SettingsError) as error:
        load(tmp_path, text)
    report = "\n".join(error.value.problems)
    assert "listen.caller: unknown; did you mean 'callers'?" in report
    assert "listen.callers: Field required" in report
    assert "fleet.key_hex: write the key in hexadecimal" in report
    assert "timing.heartbeat_s: unknown; did you mean 'heartbeat_interval_s'?" in report


def test_environment_overrides_the_file(tmp_path):
    loaded = load(tmp_path, GOOD, {"CHALKYOKE_NODE__HOST": "entry-9", "HOME": "x"})
    assert loaded.node.host == "entry-9"


def test_unknown_section_in_the_environment_is_rejected(tmp_path):
    with pytest.raises(SettingsError) as error:
        load(tmp_path, GOOD, {"CHALKYOKE_LISTENS__LINKS": "127.0.0.1:1"})
    assert "did you mean 'listen'?" in error.value.problems[0]


@pytest.mark.parametrize("address", ["localhost:80", "127.0.0.1", "127.0.0.1:99999", "::1:80"])
def test_addresses_without_ipv4_number_and_port_are_rejected(tmp_path, address):
    with pytest.raises(SettingsError):
        load(tmp_path, GOOD.replace("127.0.0.1:7000", address))


def test_missing_file_and_invalid_toml_are_rejected(tmp_path):
    with pytest.raises(SettingsError):
        settings.load(tmp_path / "none.toml", {})
    with pytest.raises(SettingsError):
        load(tmp_path, "not = [toml")


def test_policy_section_has_every_feature_with_its_default():
    parts = {each.name: each.default for each in msgspec.structs.fields(Features)}
    assert settings.PolicySection().model_dump() == parts

import tomllib

import msgspec
import pytest
from chalkyoke import gatewayd
from chalkyoke.cli import app
from chalkyoke.exceptions import SettingsError
from chalkyoke.gateway.settings import MemorySection, load
from typer.testing import CliRunner

GOOD = """
[node]
host = "n1"
failure_domain = "a"
unknown = "let pass"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
links = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[fleet]
key_hex = "00112233445566778899aabbccddeeff"
"""


@pytest.fixture
def write_settings(tmp_path):
    def write(text):
        path = tmp_path / "gateway.toml"
        path.write_text(text)
        return path

    return write


def test_valid_settings_are_accepted_and_unknown_fields_ignored(write_settings):
    settings = load(write_settings(GOOD))
    assert settings.node.host == "n1" and settings.scheduling.pooled
    assert gatewayd.check(write_settings(GOOD)) == 0


def test_advertised_link_address_replaces_the_listening_address(write_settings):
    assert load(write_settings(GOOD)).listen.advertised_links_address == "127.0.0.1:3"
    advertised = GOOD.replace('links = "', 'links_advertised = "127.0.0.1:9"\nlinks = "')
    assert load(write_settings(advertised)).listen.advertised_links_address == "127.0.0.1:9"


@pytest.mark.parametrize(
    "bad",
    [
        "not = [toml",
        GOOD.replace('host = "n1"', ""),
        GOOD.replace("[fleet]", "silence_ms = 0\n[fleet]"),
        GOOD + "[limits]\ndescriptors = -1\n",
        GOOD.replace("127.0.0.1:1", "nowhere"),
        GOOD.replace('links = "', 'links_advertised = "here"\nlinks = "'),
        GOOD.replace("00112233445566778899aabbccddeeff", "0011"),
        GOOD.replace("00112233445566778899aabbccddeeff", "no hex"),
    ],
)
def test_each_mistake_is_reported_and_the_node_does_not_start(write_settings, bad, capsys):
    path = write_settings(bad)
    assert gatewayd.run(path) == gatewayd.EXIT_SETTINGS
    assert "settings: " in capsys.readouterr().err
    shown = CliRunner().invoke(app, ["gateway", "--settings", str(path), "--check"])
    assert shown.exit_code == gatewayd.EXIT_SETTINGS


def test_policy_parts_are_switched_off_by_name(write_settings):
    path = write_settings(GOOD + '[scheduling]\noff = ["hold", "guard"]\n')
    features = load(path).scheduling.features
    assert not features.hold and not features.guard and features.early

    path = write_settings(GOOD + '[scheduling]\noff = ["holds"]\n')
    with pytest.raises(SettingsError, match="no part is called 'holds'; there are"):
        load(path)


def test_policy_parts_are_switched_on_by_name(write_settings):
    assert not load(write_settings(GOOD)).scheduling.features.spare
    path = write_settings(GOOD + '[scheduling]\non = ["spare"]\n')
    assert load(path).scheduling.features.spare
    for wrong in ('on = ["spares"]', 'on = ["spare"]\noff = ["spare"]'):
        with pytest.raises(SettingsError):
            load(write_settings(GOOD + f"[scheduling]\n{wrong}\n"))


@pytest.mark.parametrize(
    ("section", "accounted"),
    [
        ("limit_mb = 128", True),
        ("limit_mb = 0", False),
        ("", False),
        # Keys of earlier versions.
        ('contracts = ["pressure"]\naccounted_with = "pressure"\nlimit_mb = 128', True),
        ('contracts = ["other"]\naccounted_with = "pressure"\nlimit_mb = 128', True),
        ('contracts = ["pressure"]\naccounted_with = "pressure"', False),
        ("accounted = true\nlimit_mb = 128", True),
        ("accounted = false\nlimit_mb = 128", True),
    ],
)
def test_memory_is_accounted_wherever_a_limit_is_stated(section, accounted):
    """A host that states a limit and doesn't use it is killed with all that it has accepted."""
    settings = msgspec.convert(tomllib.loads(section), MemorySection)
    assert settings.is_accounted is accounted

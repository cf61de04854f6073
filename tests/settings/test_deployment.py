import pathlib

import pytest

from zinniadyke import errors
from zinniadyke import platform
from zinniadyke import settings

ROOT = pathlib.Path(__file__).parents[2]
ROLE = """
[roles.entry]
run = "python3 -m zinniadyke gateway"
on = "front"
share = 1.0
template = "deploy/t.in"
"""


def write(folder, text, template="[host]\nname = {{node|json}}\n"):
    (folder / "deploy").mkdir()
    (folder / "deploy" / "t.in").write_text(template)
    path = folder / "deploy" / "system.toml"
    path.write_text('build = "true"\n' + text)
    return path


def test_deploy_file_of_this_repository_is_valid():
    settings.check_deployment(ROOT / "deploy" / "system.toml")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("gateway", "gatway", r"roles\.entry\.run: allowed: .*found"),
        ('"front"', '"fronts"', r"allowed: front, side"),
        ("share = 1.0", "share = 2.0", r"entry\.share: expected .*found 2"),
        ("share = 1.0", "", "one of share, count is needed"),
        ("share = 1.0", "count = 0", r"count: expected 1 or more"),
        ("share = 1.0", 'share = 1.0\nmetrics = "x/m"', "expected PORT/PATH"),
        ("deploy/t.in", "deploy/no.in", r"template: .*no\.in"),
        ("on =", "onn =", "unknown field"),
    ],
)
def test_error_in_deploy_file_names_the_key(tmp_path, old, new, message):
    path = write(tmp_path, ROLE.replace(old, new))
    with pytest.raises(errors.SettingsError, match=message):
        settings.check_deployment(path)


@pytest.mark.parametrize(
    ("template", "message"),
    [
        ("[host]\nname = {{node}}\n", "template: .*Invalid value"),
        ("{{#zones}}x", "section 'zones' is not closed"),
        ("x{{/zones}}", "section 'zones' is not open"),
        ("[host]\nnam = {{node|json}}\n", "allowed: .*name"),
        ("x" * 70000, "70000 bytes"),
    ],
)
def test_invalid_template_is_rejected(tmp_path, template, message):
    path = write(tmp_path, ROLE, template)
    with pytest.raises(errors.SettingsError, match=message):
        settings.check_deployment(path)


FIELDS = {
    "a": "x",
    "b": {"c": [1, 2], "on": True, "off": False},
    "list": [{"n": "p"}, {"n": "q"}],
}


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("{{a}}-{{b.c.1}}", "x-2"),
        ("{{b.c}}", "1,2"),
        ("{{a|json}} {{b.c|json}}", '"x" [1, 2]'),
        ("[{{no}}]{{b.c.7}}", "[]"),
        ("{{#list}}{{n}}{{@}}{{,}}{{/list}}", "p0,q1"),
        ("{{#b.c}}<{{.}}>{{/b.c}}", "<1><2>"),
        ("{{#b}}{{@}};{{/b}}", "c;on;off;"),
        ("{{#b.on}}{{a}}{{/b.on}}", "x"),
        ("{{#b.off}}no{{/b.off}}{{^b.off}}yes{{/b.off}}", "yes"),
        ("{{^a}}no{{/a}}{{#a}}{{.}}{{/a}}", "x"),
        ("{{#list}}{{#b.c}}{{n}}{{.}}{{/b.c}}{{/list}}", "p1p2q1q2"),
    ],
)
def test_template_is_rendered_as_by_the_platform(text, wanted):
    assert platform.render_template(text, FIELDS) == wanted

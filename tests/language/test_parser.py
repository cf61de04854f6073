import pytest

from zinniadyke import errors
from zinniadyke import language
from zinniadyke import objects

TEXT = """
# a comment
workspace hafez { share = 4; tokens = ["a:b"] }
service drafting { kind = model timeout = 500ms idempotent = ["POST /x"] }
model drafting { service = drafting }
version 7 of drafting { source = "http://x", digest = abc }
route clerks in hafez {
  model = drafting versions = {7: 90, 8: 10} classes = [clerk]
}
limit all of hafez { rate = 2.5 concurrency = 8 }
rollout r7 { model = drafting version = 7 favour = time floor = 4 }
drain target drafting-1
pause rollout r7
"""


def changes_of(text):
    return language.to_changes(language.parse(text), objects.Configuration())


def test_declarations_become_typed_objects():
    found = {str(c.key): c.value for c in changes_of(TEXT)}
    assert found["service//drafting"].timeout == 0.5
    assert found["route/hafez/clerks"].versions == {"7": 90, "8": 10}
    assert found["limit/hafez/all"].rate == 2.5
    assert found["target//drafting-1"].drained
    assert found["rollout//r7"].favour is objects.Favour.TIME
    assert found["rollout//r7"].version == "7"
    assert found["rollout//r7"].state is objects.RolloutState.PAUSED


def test_quoted_texts_keep_non_latin_scripts():
    text = 'route r of w { model = "ملخص \\"x\\" \\u00e9" }'
    (change,) = changes_of(text)
    assert change.value.model == 'ملخص "x" é'
    rendered = language.render_object(change.key, change.value)
    assert "ملخص" in rendered
    assert changes_of(rendered) == [change]


def test_rendered_objects_parse_to_equal_objects():
    wanted = {c.key: c.value for c in changes_of(TEXT)}
    text = "".join(language.render_object(k, v) for k, v in wanted.items())
    assert {c.key: c.value for c in changes_of(text)} == wanted


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("workspace { }", "f.zd:1:11: found '{'"),
        ("model x {\n  service = }", "f.zd:2:13: found '}'"),
        ("show targets where", "f.zd:1:19: found 'the end'"),
        ("route r { model = m }", "which workspace it belongs to"),
        ("model m of x { service = s }", "model does not take 'of NAME'"),
        ('model m { service = "a" service = "b" }', "given twice"),
        ("wait rollout r until serving > 1 within 5x", "not a duration"),
    ],
)
def test_syntax_errors_show_their_position(text, expected):
    with pytest.raises(errors.UserError) as caught:
        language.parse(text, file="f.zd")
    assert expected in caught.value.message


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("model m { server = x }", "unknown field `server`"),
        ("model m { }", "missing required field `service`"),
        ("workspace w { share = many }", "Expected `int`, got `str`"),
        ("service s { kind = queue }", "Invalid enum value 'queue'"),
        ("pause rollout r", "no rollout 'r'"),
        ("drain rollout r", "has no command drain"),
        ("show targets", "a query cannot be applied"),
    ],
)
def test_invalid_statements_name_line_and_reason(text, expected):
    with pytest.raises(errors.UserError) as caught:
        changes_of(text)
    assert expected in caught.value.message
    assert "statement:1" in caught.value.message


def test_queries_select_rows_and_match_conditions():
    show, explain, wait = language.parse(
        "show targets name, zone where serving = 7 and zone != cairo"
        " order by name desc limit 3"
        " explain route for workspace hafez model drafting class clerk"
        " wait rollout r7 until serving >= 4 within 5m"
    )
    rows = [
        {"name": "a", "zone": "asyut", "serving": "7"},
        {"name": "b", "zone": "cairo", "serving": "7"},
        {"name": "c", "zone": "asyut", "serving": "7"},
    ]
    found = language.select(rows, show)
    assert [row["name"] for row in found] == ["c", "a"]
    assert list(found[0]) == ["name", "zone"]
    assert (explain.workspace, explain.request_class) == ("hafez", "clerk")
    assert wait.within_s == 300
    assert language.matches({"serving": 4}, wait.condition)
    with pytest.raises(errors.DeclarationError, match="no field"):
        language.select([{"name": "a"}], show)

from zinniadyke import requests


def test_equal_requests_have_equal_contents():
    fields = (b"POST", b"h", b"/a", b"w", b"body")
    assert requests.digest_content(*fields) == requests.digest_content(*fields)


def test_a_byte_that_moves_to_the_next_field_makes_another_content():
    assert requests.digest_content(b"ab", b"c") != requests.digest_content(
        b"a", b"bc"
    )

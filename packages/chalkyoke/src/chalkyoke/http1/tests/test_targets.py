"""Tests of request targets in absolute form."""

import pytest
from chalkyoke.http1.targets import to_origin_form

from tests import virtual

from .test_server import Caller

ABSOLUTE = {
    b"http://desk.example/a%2Fb/../c?q=%20;x": (b"desk.example", b"/a%2Fb/../c?q=%20;x"),
    b"HTTP://Desk.example:8080/a": (b"Desk.example:8080", b"/a"),
    b"http://desk.example": (b"desk.example", b"/"),
    b"http://desk.example?q=http://other/": (b"desk.example", b"/?q=http://other/"),
    b"http://[::1]:80//a": (b"[::1]:80", b"//a"),
}
BAD = [
    b"https://h/a",
    b"ftp://h/a",
    b"http:///a",
    b"http://user@h/a",
    b"http://h:port/a",
    b"http://h:80:80/a",
    b"http://h/a#part",
    b"http://h\\a",
    b"h:80",
    b"*",
]


@pytest.mark.parametrize("target", ABSOLUTE)
def test_a_target_in_absolute_form_is_accepted_and_its_host_counts(target):
    """Guards against lawful requests that get 400, and against two hosts in one request."""
    host, path = ABSOLUTE[target]

    async def check():
        caller = Caller()
        head = b"PUT " + target + b" HTTP/1.1\r\nX-A: b\r\nhost: other\r\nContent-Length: 2\r\n\r\n"
        await caller.send(head + b"ok")
        ((request, _),) = caller.requests
        assert (request.method, request.target, request.body) == (b"PUT", path, b"ok")
        assert [pair for pair in request.headers if pair[0].lower() == b"host"] == [(b"Host", host)]
        assert (b"X-A", b"b") in request.headers

    virtual.run(check)


def test_an_absolute_target_replaces_no_missing_or_second_host():
    async def check(hosts):
        caller = Caller()
        await caller.send(b"GET http://h/a HTTP/1.1\r\n" + hosts + b"\r\n")
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ") and not caller.requests

    for hosts in (b"", b"Host: h\r\nHost: h\r\n"):
        virtual.run(lambda hosts=hosts: check(hosts))


def test_an_absolute_target_is_kept_where_an_offer_of_another_protocol_is_ignored():
    async def check():
        caller = Caller()
        await caller.send(
            b"GET http://h/a HTTP/1.1\r\nHost: i\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        )
        ((request, _),) = caller.requests
        assert request.target == b"/a" and (b"Host", b"h") in request.headers

    virtual.run(check)


@pytest.mark.parametrize("target", BAD)
def test_other_targets_are_refused(target):
    assert to_origin_form(target, [(b"Host", b"h")]) is None

    async def check():
        caller = Caller()
        await caller.send(b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ") and not caller.requests

    virtual.run(check)

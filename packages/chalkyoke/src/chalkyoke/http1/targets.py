"""
chalkyoke.http1.targets

The forms of a request target (RFC 9112, section 3.2).
"""

import re

import msgspec

from chalkyoke.http1.messages import Headers

# User information is not accepted, as it may hide the host (RFC 9110, section 4.2.4), nor is a
# fragment, which is no part of a request. Requests for ``https`` don't come without encryption.
_ABSOLUTE = re.compile(
    rb"http://(?P<host>(?:[a-z0-9._~!$&'()*+,;=%-]+|\[[0-9a-f:.]+\])(?::[0-9]{0,5})?)"
    rb"(?P<path>[/?][^#]*)?",
    re.IGNORECASE | re.DOTALL,
)


class OriginForm(msgspec.Struct, frozen=True):
    """A request in the form in which it is sent to the server of its host.

    :param target: path and query.
    :param headers: of the request, with the host of an absolute target in place of theirs.
    """

    target: bytes
    headers: Headers


def to_origin_form(target: bytes, headers: Headers) -> OriginForm | None:
    """Return a request in origin form; None if its target has another form than this or absolute.

    The host of an absolute target takes precedence over the ``Host`` header, and takes its place:
    whoever gets the request next can't read another host than the one that was used here. Path and
    query are not changed.
    """
    if target.startswith(b"/"):
        return OriginForm(target, headers)
    found = _ABSOLUTE.fullmatch(target)
    if found is None:
        return None
    path = found["path"] or b"/"
    if path.startswith(b"?"):
        path = b"/" + path
    others = [(name, value) for name, value in headers if name.lower() != b"host"]
    return OriginForm(path, [(b"Host", found["host"]), *others])

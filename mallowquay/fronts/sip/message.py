"""SIP messages: heads parsed in place by offsets, and written as parts for a gathered write."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ...errors import Fault
from ...net.streams import MESSAGE_MOST

SIP_VERSION = b"SIP/2.0"
HEADERS_MOST = 128
# What is not UTF-8 stays as it came: decoded and encoded this way, the bytes are the same (PEP 383).
NOT_TEXT = "surrogateescape"

COMPACT = {
    b"i": b"call-id",
    b"m": b"contact",
    b"e": b"content-encoding",
    b"l": b"content-length",
    b"c": b"content-type",
    b"f": b"from",
    b"s": b"subject",
    b"k": b"supported",
    b"t": b"to",
    b"v": b"via",
}

REASONS = {
    100: "Trying",
    180: "Ringing",
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    486: "Busy Here",
    487: "Request Terminated",
    488: "Not Acceptable Here",
    491: "Request Pending",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
}

TOKEN = frozenset(b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")


class BadMessage(Fault):
    """A message of a caller or log server that cannot be served; one that can be answered is."""

    code = "message.bad"
    remedy = (
        "Look at what the peer sends at this place: it must keep to RFC 3261 and to this program's pages."
    )

    def __init__(self, status: int, fault: str, message: Message | None = None) -> None:
        """`status` is the answer; 0 where none can be given."""
        super().__init__(fault, "message" if message is None else message.method or str(message.status))
        self.status, self.message = status, message


class Part(Enum):
    """The two parts of a message."""

    HEAD = "head"
    BODY = "body"


@dataclass(slots=True)
class Message:
    """A parsed message. Its values lie in the buffer: take what is kept before the buffer moves on."""

    view: memoryview
    method: str = ""  # of a request
    uri: str = ""
    version: bytes = SIP_VERSION
    status: int = 0  # of a response
    reason: str = ""
    fields: list[tuple[bytes, int, int]] = field(default_factory=list)  # name, start and end of the value
    head_start: int = 0
    body_start: int = 0
    body_end: int = 0

    def all(self, name: str) -> list[str]:
        """The values of every header of this name, in order."""
        wanted = name.lower().encode()
        return [self._text(start, end) for key, start, end in self.fields if key == wanted]

    def get(self, name: str, default: str = "") -> str:
        """The first value of a header."""
        wanted = name.lower().encode()
        for key, start, end in self.fields:
            if key == wanted:
                return self._text(start, end)
        return default

    def number(self, name: str) -> int | None:
        """A header that is a plain number; None if absent, BadMessage if it is not one."""
        text = self.get(name, "\0")
        if text == "\0":
            return None
        if not text.isascii() or not text.isdigit() or len(text) > 10:
            raise BadMessage(400, f"{name} is not a number", self)
        return int(text)

    @property
    def body(self) -> memoryview:
        """The description, still in the buffer."""
        return self.view[self.body_start : self.body_end]

    def spoilt(self) -> Part | None:
        """The first part that is not UTF-8, as all of a message is to be (RFC 3261, section 7)."""
        for part, start, end in (
            (Part.HEAD, self.head_start, self.body_start),
            (Part.BODY, self.body_start, self.body_end),
        ):
            try:
                bytes(self.view[start:end]).decode()
            except UnicodeDecodeError:
                return part
        return None

    def cseq(self) -> tuple[int, str]:
        """Number and method of CSeq."""
        parts = self.get("CSeq").split()
        if len(parts) != 2 or not parts[0].isascii() or not parts[0].isdigit() or len(parts[0]) > 10:
            raise BadMessage(400, "CSeq is not a number and a method", self)
        return int(parts[0]), parts[1]

    def _text(self, start: int, end: int) -> str:
        text = bytes(self.view[start:end]).decode("utf-8", NOT_TEXT)
        return " ".join(text.split()) if "\r" in text or "\n" in text else text


def parse(
    buffer: bytearray | bytes, start: int, end: int, datagram: bool = False
) -> tuple[Message | None, int]:
    """The message that begins at `start`, and where it ends; (None, start) until it is whole.

    On a stream a fault in the framing is raised with status 0: nothing after it can be trusted.
    """
    while start < end and buffer[start] in b"\r\n":  # keep-alives between messages
        start += 1
    head_end = buffer.find(b"\r\n\r\n", start, end)
    if head_end < 0:
        if datagram and start < end:
            raise BadMessage(0, "the head does not end")
        return None, start
    view = memoryview(buffer)
    line_end = buffer.find(b"\r\n", start, head_end + 2)
    message = Message(view, head_start=start)
    _first_line(message, bytes(view[start:line_end]))
    _headers(message, buffer, line_end + 2, head_end + 2)
    body = head_end + 4
    length = _content_length(message, datagram, end - body)
    if body + length > end:
        if datagram:
            raise BadMessage(400, "the body is cut off", message)
        if body + length - start > MESSAGE_MOST:
            raise BadMessage(413, "the message is too long", message)
        return None, start
    message.body_start, message.body_end = body, body + length
    return message, body + length


def _first_line(message: Message, line: bytes) -> None:
    parts = line.split(b" ", 2)
    if len(parts) < 3:
        raise BadMessage(0, "the first line does not hold three parts")
    if parts[0][:4] == b"SIP/":
        if not parts[1].isdigit() or len(parts[1]) != 3:
            raise BadMessage(0, "the status is not three digits")
        message.version, message.status = parts[0], int(parts[1])
        message.reason = parts[2].decode("utf-8", NOT_TEXT)
        if not 100 <= message.status < 700:
            raise BadMessage(0, "the status is out of range")
        return
    if not parts[0] or not TOKEN.issuperset(parts[0]) or not parts[2].startswith(b"SIP/"):
        raise BadMessage(0, "the first line is not SIP")
    message.method = parts[0].decode()
    message.uri = parts[1].decode("utf-8", NOT_TEXT)
    message.version = parts[2]


def _headers(message: Message, buffer: bytearray | bytes, at: int, end: int) -> None:
    fields = message.fields
    while at < end:
        stop = buffer.find(b"\r\n", at, end)
        if buffer[at] in b" \t":  # a folded line goes on with the value before it
            if not fields:
                raise BadMessage(0, "the head begins with a folded line")
            name, first, _ = fields[-1]
            fields[-1] = (name, first, stop)
        else:
            colon = buffer.find(b":", at, stop)
            if colon < 0:
                raise BadMessage(0, "a header has no colon")
            name = bytes(message.view[at:colon]).rstrip(b" \t").lower()
            if not name or not TOKEN.issuperset(name):
                raise BadMessage(0, "a header has no name")
            first = colon + 1
            while first < stop and buffer[first] in b" \t":
                first += 1
            fields.append((COMPACT.get(name, name), first, stop))
            if len(fields) > HEADERS_MOST:
                raise BadMessage(0, "too many headers")
        at = stop + 2
    for index, (name, first, last) in enumerate(fields):
        while last > first and buffer[last - 1] in b" \t":
            last -= 1
        fields[index] = (name, first, last)


def _content_length(message: Message, datagram: bool, rest: int) -> int:
    values = message.all("Content-Length")
    if not values:
        if datagram:
            return max(0, rest)
        raise BadMessage(0, "no Content-Length on a stream")
    if len(set(values)) > 1 or not values[0].isascii() or not values[0].isdigit() or len(values[0]) > 8:
        raise BadMessage(400 if datagram else 0, "Content-Length is not one number", message)
    return int(values[0])


# --- writing -------------------------------------------------------------------------------------

Header = tuple[str, str]


def write_response(
    status: int, copied: Iterable[Header], extra: Iterable[Header] = (), body: bytes = b""
) -> list[bytes]:
    """A response as parts: first line, headers and body."""
    first = f"SIP/2.0 {status} {REASONS.get(status, 'Unknown')}\r\n".encode()
    return [first, *_header_parts(copied, extra, body)]


def write_request(
    method: str, uri: str, headers: Iterable[Header], extra: Iterable[Header] = (), body: bytes = b""
) -> list[bytes]:
    """A request as parts."""
    return [f"{method} {uri} SIP/2.0\r\n".encode("utf-8", NOT_TEXT), *_header_parts(headers, extra, body)]


def _header_parts(first: Iterable[Header], second: Iterable[Header], body: bytes) -> Iterator[bytes]:
    lines = [f"{name}: {value}\r\n" for headers in (first, second) for name, value in headers]
    yield "".join(lines).encode("utf-8", NOT_TEXT)
    yield b"Content-Length: %d\r\n\r\n" % len(body)
    if body:
        yield body


def copied_headers(request: Message) -> list[Header]:
    """What every response repeats of its request."""
    headers = [("Via", value) for value in request.all("Via")]
    for name in ("From", "To", "Call-ID", "CSeq"):
        value = request.get(name)
        if value:
            headers.append((name, value))
    return headers


# --- values --------------------------------------------------------------------------------------


def user_of(uri: str) -> str:
    """The user part of a SIP URI; empty if it has none."""
    scheme, _, rest = uri.partition(":")
    if scheme.lower() not in ("sip", "sips"):
        return ""
    user, at, _ = rest.partition("@")
    return user.partition(";")[0].partition(":")[0] if at else ""


def q850_cause(reason: str, default: int) -> int:
    """The cause of a Reason header of Q.850."""
    for part in reason.split(";"):
        name, _, value = part.strip().partition("=")
        if name.lower() == "cause" and value.isascii() and value.isdigit() and len(value) < 6:
            return int(value)
    return default


def read_path(text: str) -> dict[str, int]:
    """The figures of P-Path, such as `dest:2;width:1;via:-1`; BadMessage if one is no whole number."""
    figures = {}
    for part in text.split(";") if text else []:
        name, colon, value = part.strip().partition(":")
        digits = value.removeprefix("-")
        if not colon or not digits.isascii() or not digits.isdigit() or len(digits) > 5:
            raise BadMessage(400, f"P-Path holds no figure: {part[:40]!r}")
        figures[name] = int(value)
    return figures

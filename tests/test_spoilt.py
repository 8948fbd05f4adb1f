"""Noise in what peers of the second front send: bytes pass as they came, or the answer counts as spoilt."""

from __future__ import annotations

import random
import socket
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from test_crossings_sip import MS, FrontCase, ready
from test_sip import Peer

from mallowquay.fronts.sip.message import Part, copied_headers, parse, write_response

NOISE = b"\x9f\xfe\x00\xc3\x28\xed\xa0\x80"
HEADERS = ("Via", "From", "To", "Call-ID", "CSeq")
VALUE = st.binary(min_size=1, max_size=40).filter(lambda data: not set(data) & set(b"\r\n"))
VALUE = VALUE.filter(lambda data: data == data.strip())


def message(first: bytes, value: bytes, body: bytes = b"") -> bytes:
    lines = [first, *(b"%s: %s" % (name.encode(), value) for name in HEADERS)]
    return b"\r\n".join([*lines, b"Content-Length: %d" % len(body), b"", b""]) + body


class AnyBytes(unittest.TestCase):
    @given(VALUE)
    @example(NOISE)
    @example("é\u2028".encode())
    def test_headers_that_an_answer_repeats_are_the_same_bytes(self, value: bytes) -> None:
        """Guards against copied headers with U+FFFD in place of noise: the far end could not match them."""
        request, _ = parse(bytearray(message(b"OPTIONS sip:h SIP/2.0", value)), 0, 1 << 16)
        assert request is not None
        answer = b"".join(write_response(200, copied_headers(request)))
        for name in HEADERS:
            self.assertIn(b"\r\n%s: %s\r\n" % (name.encode(), value), answer)

    @given(st.binary(max_size=60), VALUE)
    @example(NOISE, b"x")
    @example(b"x", NOISE)
    def test_a_message_is_spoilt_exactly_where_it_is_no_text(self, body: bytes, value: bytes) -> None:
        """Guards against a second notion of text: what is not spoilt decodes to what encodes to it."""
        data = message(b"SIP/2.0 200 OK", value, body)
        response, _ = parse(bytearray(data), 0, len(data))
        assert response is not None
        part = response.spoilt()
        for expected, of in ((Part.HEAD, value), (Part.BODY, body)):
            if of.decode("utf-8", "ignore").encode() != of:
                self.assertIs(part, expected)
                return
        self.assertIsNone(part)


class Spoilt(FrontCase):
    async def answered(self, server: Peer, call: str, body: bytes, reason: bytes = b"OK") -> bytes | None:
        """A set-up that this log server answers so: the description of the caller's 200, None without one."""
        self.caller.write(self.message("INVITE", call))
        invite = await self.next(server, "INVITE")
        server.far = ("127.0.0.1", self.far)
        contact = ("Contact", f"<sip:l@127.0.0.1:{server.sock.getsockname()[1]}>")
        copied = [(k, f"{v};tag=s" if k == "to" else v) for k, v in invite.copied()]
        head = b"SIP/2.0 200 %s\r\n" % reason
        lines = "".join(f"{name}: {value}\r\n" for name, value in [*copied, contact])
        server.write(head + lines.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await self.next(server, "ACK")
        if call not in {known.request.id.partition("\x1f")[0] for known in self.calls.standing()}:
            return None
        return (await self.next(self.caller, "SIP/2.0 200")).body

    async def tcp_server(self) -> Peer:
        """The log server over TCP, with the front's connection to it, which a first call has opened."""
        self.script.order[0] = "t0"
        server = Peer(socket.socket())
        await self.stand("first", server)
        return server

    async def test_a_spoilt_answer_is_never_served(self) -> None:
        """Guards against a description with U+FFFD under 200: it is closed, and the call goes elsewhere."""
        for server in (self.u0, await self.tcp_server()):
            self.script.order[:2] = ["t0" if server.stream else "u0", "u1"]
            for number, (body, reason) in enumerate([(NOISE, b"OK"), (b"answer", NOISE.replace(b"\0", b""))]):
                call = f"spoilt{server.name}{number}"
                self.assertIsNone(await self.answered(server, call, body, reason))
                await self.next(server, "BYE")
                self.advance(299 * MS)
                await self.turns()
                self.assertEqual(self.heard(self.u1.sock), [])
                self.advance(MS)
                await self.until(lambda: self.heard(self.u1.sock))
                self.assertEqual(self.begun[call], 1)
                self.caller.write(self.message("CANCEL", call))
                await self.next(self.caller, "SIP/2.0 487")

    async def test_a_refusal_with_noise_is_no_word_of_the_log_servers_load(self) -> None:
        """Guards against believing a spoilt refusal: it counts as unreadable, with 300 ms before a resend."""
        self.caller.write(self.message("INVITE", "c"))
        invite = await self.next(self.u0, "INVITE")
        self.u0.far = ("127.0.0.1", self.far)
        copied = "".join(f"{name}: {value}\r\n" for name, value in invite.copied())
        self.u0.write(b"SIP/2.0 503 \xff\r\n" + copied.encode() + b"Content-Length: 0\r\n\r\n")
        await self.next(self.u0, "ACK")
        await self.turns()
        self.assertEqual(self.heard(self.u1.sock), [])
        self.advance(300 * MS)
        await self.until(lambda: self.heard(self.u1.sock))

    async def test_any_description_passes_unchanged_or_is_spoilt(self) -> None:
        """Property: any bytes in, the same bytes out or no answer by them."""
        dice = random.Random(1)
        for number in range(60):
            size = dice.randrange(40)
            text = "".join(map(chr, dice.choices(range(0xD000), k=size)))
            body = dice.choice([dice.randbytes(size), text.encode()])
            passed = await self.answered(self.u0, f"any{number}", body)
            try:
                body.decode()
            except UnicodeDecodeError:
                self.assertIsNone(passed)
            else:
                self.assertEqual(passed, body)

    async def test_a_set_up_that_is_no_text_is_refused_with_its_own_bytes(self) -> None:
        """Guards against a set-up known by altered headers: 400 for its head, 488 for its description."""
        for number, (old, new, status) in enumerate(
            [(b"<sip:c@h>;tag=c", b"<sip:\xff@h>;tag=c", b"400"), (b"", NOISE, b"488")]
        ):
            data = self.message("INVITE", f"bad{number}", body=new if status == b"488" else b"")
            self.caller.write(data.replace(old, new) if old else data)
            await self.until(lambda: ready(self.caller.sock))
            answer = self.caller.sock.recv(65536)
            self.assertTrue(answer.startswith(b"SIP/2.0 " + status), answer)
            self.assertIn(new if old else b"tag=c", answer)

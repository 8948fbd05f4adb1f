"""Day-to-day operation: the real program's second address, as on-call staff and the platform use it."""

from __future__ import annotations

import copy
import http.client
import json
import os
import socket
import subprocess
import time
import unittest
from typing import Any

from rigs.sip_peers import operators_file, sip_port
from support import CLASS, SETTINGS, WAIT, Caller, Process, connect, free_port, receive, spoken_to
from test_platform import PlatformCase

from mallowquay.operation.control import PLACES


class ControlCase(PlatformCase):
    """The platform's front with a second address."""

    def setUp(self) -> None:
        self.control = free_port()
        super().setUp()

    def environment(self) -> dict[str, str]:
        return {"LB_CONTROL": f"127.0.0.1:{self.control}"}

    def call(self, method: str, path: str, port: int = 0) -> tuple[int, Any]:
        return control_call(port or self.control, method, path)


def control_call(port: int, method: str, path: str) -> tuple[int, Any]:
    """One call on a second address: its status and what came."""
    client = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
    try:
        client.request(method, path)
        answer = client.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if answer.status in (200, 503) else None
    finally:
        client.close()


class ReadinessTest(ControlCase):
    def test_ready_until_sigterm(self) -> None:
        self.assertEqual(self.call("GET", "/healthcheck"), (200, {"ready": True}))
        self.assertEqual(self.call("GET", "/elsewhere")[0] // 100, 4)
        self.caller.invite("00000000000000e1")  # keeps the process until it is answered
        self.log_servers[0].read()
        self.program.terminate()
        self.program.wait_for("stopping")
        self.assertEqual(self.call("GET", "/healthcheck"), (503, {"ready": False}))

    def test_one_call_a_connection(self) -> None:
        sock = connect(self.control)
        self.addCleanup(sock.close)
        sock.sendall(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
        heard = b""
        while data := sock.recv(4096):
            heard += data
        self.assertIn(b"200 OK", heard)

    def test_callers_that_finish_no_call_do_not_shut_others_out(self) -> None:
        silent = [connect(self.control) for _ in range(3 * PLACES)]
        for sock in silent:
            self.addCleanup(sock.close)
        silent[-1].sendall(b"GET /healthcheck HT")
        self.assertEqual(self.call("GET", "/healthcheck")[0], 200)

    def test_what_cannot_be_read_ends_nothing(self) -> None:
        for bad in (b"\x00\xff\r\n\r\n", b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                    b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n",
                    b"GET " + b"x" * 20000):  # fmt: skip
            with connect(self.control) as sock:
                sock.sendall(bad)
        self.assertEqual(self.call("GET", "/healthcheck")[0], 200)


class StopTest(ControlCase):
    def test_sigterm_sees_a_standing_call_to_its_end(self) -> None:
        self.set_up("00000000000000e2")
        self.program.terminate()
        with self.assertRaises(subprocess.TimeoutExpired):
            self.program.process.wait(1.0)  # past the time in which new callers come
        self.log_servers[0].say("down", "00000000000000e2", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000e2")
        self.assertEqual(self.program.process.wait(WAIT), 0)


class FiguresTest(ControlCase):
    def stats(self) -> Any:
        status, figures = self.call("GET", "/stats")
        self.assertEqual(status, 200)
        return figures

    def test_figures_count_how_requests_end(self) -> None:
        nothing = {"log-lookup": 0, "log-update": 0}
        self.assertEqual(self.stats(), {
            "completed": nothing, "rejected": nothing, "failed": nothing, "upstream_requests": 0,
            "pending": 0, "members": 2, "members_unavailable": 0,
            "config_reloads": 0, "config_reload_errors": 0,
        })  # fmt: skip
        self.set_up("00000000000000f1")
        self.caller.invite("00000000000000f2", kind="log-update")  # an error, twice: it has failed
        for _ in range(2):
            server = spoken_to(self.log_servers)
            server.read()
            server.say("down", "00000000000000f2", cause=47)
        self.assertTrue(self.caller.read()[""].startswith("SIP/2.0 500"))
        self.caller.invite("00000000000000f3", left=60)  # no time for anything: refused
        self.caller.read()
        self.caller.invite("00000000000000f4")
        self.log_servers[0].read()
        figures = self.stats()
        self.assertEqual(figures["completed"], {"log-lookup": 1, "log-update": 0})
        self.assertEqual(figures["rejected"], {"log-lookup": 1, "log-update": 0})
        self.assertEqual(figures["failed"], {"log-lookup": 0, "log-update": 1})
        self.assertEqual((figures["upstream_requests"], figures["pending"]), (4, 2))  # one of the two stands
        self.caller.send("CANCEL", "00000000000000f4")  # abandoned: no more than not pending
        self.caller.read()
        self.assertEqual(self.stats()["pending"], 1)
        self.tell(self.log_servers[1], 1)
        self.program.hang_up()
        self.program.wait_for("configuration_taken")
        with open(self.file, "w") as file:
            file.write("{")
        self.program.hang_up()
        self.program.wait_for("configuration_not_taken")
        figures = self.stats()
        self.assertEqual((figures["members"], figures["members_unavailable"]), (2, 1))
        self.assertEqual((figures["config_reloads"], figures["config_reload_errors"]), (1, 1))


class DrainTest(ControlCase):
    def test_a_drain_closes_connections_between_requests_and_ends(self) -> None:
        self.set_up("00000000000000d1")
        standing, self.caller = self.caller, Caller(self.port)
        self.caller.send("OPTIONS", "p")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        busy = Caller(self.port)
        busy.invite("00000000000000d2")
        self.log_servers[0].read()
        half = Caller(self.port)
        half.sock.sendall(b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: x\r\n")
        self.assertEqual(self.call("POST", "/healthcheck/fail")[0], 200)
        self.assertEqual(self.call("GET", "/healthcheck")[0], 503)
        self.assertEqual(self.call("POST", "/healthcheck/fail")[0], 200)
        with self.assertRaises(EOFError):
            self.caller.read()
        self.assertTrue(busy.silent())  # taken: it is finished on its connection
        half.sock.sendall(b"Content-Length: 0\r\n\r\n")  # read out before it is closed
        self.assertEqual(half.read()[""], "SIP/2.0 503 Service Unavailable")
        self.log_servers[0].say("up", "00000000000000d2", text="answer")
        self.assertEqual(busy.read()[""], "SIP/2.0 200 OK")
        self.assertTrue(standing.silent())  # the release finds its caller here alone
        for call_id in ("00000000000000d1", "00000000000000d2"):
            self.log_servers[0].say("down", call_id, cause=16)
        self.assertEqual(standing.read()["call-id"], "00000000000000d1")
        self.assertEqual(busy.read()["call-id"], "00000000000000d2")
        for closed in (busy, half, standing):
            with self.assertRaises(EOFError):
                closed.read()

    def test_the_end_of_a_drain_undoes_all(self) -> None:
        self.set_up("00000000000000d3")
        self.caller.sock.close()  # its connection is gone before its release
        self.caller = Caller(self.port)
        self.call("POST", "/healthcheck/fail")
        with self.assertRaises(EOFError):
            self.caller.read()
        self.assertEqual(self.call("POST", "/healthcheck/ok")[0], 200)
        self.assertEqual(self.call("GET", "/healthcheck")[0], 200)
        self.caller = Caller(self.port)
        self.set_up("00000000000000d4")
        self.log_servers[0].say("down", "00000000000000d3", cause=16)  # its release finds its caller
        self.assertEqual(self.caller.read()["call-id"], "00000000000000d3")
        self.assertTrue(self.caller.silent(1.0))  # and this one stays open

    def test_a_connection_in_constant_use_is_emptied_and_closed(self) -> None:
        self.call("POST", "/healthcheck/fail")
        began, number, answers = time.monotonic(), 0, []
        while not answers or answers[-1][""] == "SIP/2.0 200 OK":  # there is always a set-up open on it
            self.assertLess(time.monotonic() - began, 4.0)
            number += 1
            self.caller.invite(f"{number:016x}")
            if number > 1:
                self.log_servers[0].say("up", f"{number - 1:016x}", text="answer")
                answers.append(self.caller.read())
            if not self.log_servers[0].silent(0.1):
                self.assertEqual(self.log_servers[0].read()["ref"], f"{number:016x}")
        answers.append(self.caller.read())  # that of the set-up before it comes too, in either order
        refused = [answer for answer in answers if answer[""].startswith("SIP/2.0 503")]
        self.assertEqual([("p-gap-ms" in answer) for answer in refused], [True])
        self.assertEqual(len(answers), number)
        for stands in range(1, number):
            self.log_servers[0].say("down", f"{stands:016x}", cause=16)
            self.assertEqual(self.caller.read()["call-id"], f"{stands:016x}")
        with self.assertRaises(EOFError):
            self.caller.read()


class RetuneTest(ControlCase):
    def reload(self, settings: dict[str, Any], **changes: Any) -> None:
        """Replace the file and have it read; the log says what came of it."""
        text = json.dumps({**self.document, "settings": settings, **changes})
        self.reload_text(text)

    def reload_text(self, text: str, word: str = "configuration_taken") -> None:
        with open(self.file, "w") as file:
            file.write(text)
        before = self.program.text().count(word)
        self.program.hang_up()
        end = time.monotonic() + WAIT
        while self.program.text().count(word) == before:
            self.assertLess(time.monotonic(), end, self.program.text())
            time.sleep(0.005)

    def settings(self, **limits: Any) -> dict[str, Any]:
        settings = copy.deepcopy(SETTINGS)
        settings["limits"].update(limits)
        return settings

    def test_new_classes_come_under_their_own_rules_and_open_calls_keep_theirs(self) -> None:
        self.caller.invite("00000000000000a1", left=2500)  # a lookup, under the rules of before
        first = self.log_servers[0].read()
        settings = self.settings(mostTries=1)
        settings["services"] = [
            {**CLASS, "name": "log-once", "effect": "non_idempotent"}, {**CLASS, "name": "log-update"},
        ]  # fmt: skip
        self.reload(settings)
        self.caller.invite("00000000000000a1", left=2500)  # a copy is silent, though its class is dropped
        self.caller.invite("00000000000000a2")
        self.assertTrue(self.caller.read()[""].startswith("SIP/2.0 400"))  # the class is no more
        self.log_servers[0].say("down", first["ref"], cause=34, note="ovl")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000a1")  # a second attempt, as before
        self.log_servers[1].say("up", "00000000000000a1", text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.caller.invite("00000000000000a3", dest=1, kind="log-once")
        self.assertEqual(self.log_servers[1].read()["f"]["class"], "log-once")
        self.log_servers[1].say("down", "00000000000000a3", cause=34, note="ovl")
        self.assertTrue(self.caller.read()[""].startswith("SIP/2.0 503"))  # one attempt, and it never ran
        self.caller.invite("00000000000000a4", dest=0, kind="log-once")
        self.log_servers[0].read()
        self.log_servers[0].say("down", "00000000000000a4", cause=41)  # it may have run: it has failed
        self.assertTrue(self.caller.read()[""].startswith("SIP/2.0 500"))
        figures = self.call("GET", "/stats")[1]
        self.assertEqual(figures["completed"], {"log-lookup": 1, "log-update": 0, "log-once": 0})
        self.assertEqual((figures["rejected"]["log-once"], figures["failed"]["log-once"]), (1, 1))
        self.assertEqual((figures["config_reloads"], figures["config_reload_errors"]), (1, 0))

    def test_a_faulty_file_is_turned_down_whole(self) -> None:
        good = json.dumps({**self.document, "settings": self.settings(mostTries=1)})
        lacking = [key for key in self.document if key != "listen"]  # LB_LISTEN names that
        texts = ["", "{}", "[]", "null", good[: len(good) // 2], good[:-1], good.replace("9000000", "true"),
                 good.replace("9000000", "NaN"), good.replace("9000000", '"9000000"'),
                 good.replace('"mostTries": 1', '"mostTries": 0'), good.replace('"mostTries": 1, ', ""),
                 good.replace("300000", '"300000"'), good.replace("log-update", "log-lookup")]  # fmt: skip
        texts += [json.dumps({k: v for k, v in json.loads(good).items() if k != key}) for key in lacking]
        for text in texts:
            self.assertNotEqual(text, good)
            self.reload_text(text, "configuration_not_taken")
        figures = self.call("GET", "/stats")[1]
        self.assertEqual((figures["config_reloads"], figures["config_reload_errors"]), (0, len(texts)))
        self.caller.invite("00000000000000b1")  # as many attempts as before
        self.log_servers[0].read()
        self.log_servers[0].say("down", "00000000000000b1", cause=34, note="ovl")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000b1")


class SipDrainTest(unittest.TestCase):
    def test_the_second_front_drains_as_well(self) -> None:
        port, control = sip_port(), free_port()
        path = operators_file(port, [(free_port(), "udp")], extra="")
        with open(path) as file:
            text = f'control = "127.0.0.1:{control}"\n' + file.read()
        with open(path, "w") as file:
            file.write(text)
        self.addCleanup(os.unlink, path)
        program = Process([path], {})
        self.addCleanup(program.stop)
        stream = connect(port, program)
        self.addCleanup(stream.close)
        connect(control).close()
        self.assertEqual(control_call(control, "GET", "/healthcheck")[0], 200)
        self.assertEqual(control_call(control, "POST", "/healthcheck/fail")[0], 200)
        self.assertEqual(control_call(control, "GET", "/healthcheck")[0], 503)
        with self.assertRaises(EOFError):
            receive(stream)
        self.assertEqual(control_call(control, "POST", "/healthcheck/ok")[0], 200)
        again = connect(port)
        self.addCleanup(again.close)
        again.settimeout(1.2)
        with self.assertRaises(socket.timeout):
            again.recv(1)


if __name__ == "__main__":
    unittest.main()

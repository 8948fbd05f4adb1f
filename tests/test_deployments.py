"""What deployments differ in, on the platform's protocol: whether log servers may be tested."""

from __future__ import annotations

import copy
from typing import Any

from support import SETTINGS, LogServer
from test_platform import PlatformCase


def settings_with(limits: dict[str, Any] | None = None, **more: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS) | more
    settings["limits"] |= limits or {}
    return settings


class TestedTest(PlatformCase):
    """A log server that refuses connections is tested in place of calls, where that is allowed."""

    def more(self) -> dict[str, object]:
        return {"settings": settings_with({"mayProbe": True})}

    def test_a_silent_log_server_is_tested_and_has_calls_again_once_it_passed(self) -> None:
        gone = self.log_servers[0]
        gone.reset()
        # The first call finds it out, at another's cost of time; from then on none goes there.
        self.caller.invite("00000000000000a1")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000a1")
        self.log_servers[1].say("up", "00000000000000a1", text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        back = self.log_servers[0] = LogServer(gone.number, gone.port)
        back.accept()
        test = back.read()
        self.assertEqual((test["t"], test["c"], test["f"]), ("hb", 1, {}))
        back.say("gauge", "", load="x0:1000;x1:1000")
        back.say("hb_ok", "00000000000000ff", cause=1)  # of no test
        back.say("hb_ok", test["ref"], cause=0)  # failed: it is asked again
        again = back.read()
        self.assertEqual(again["t"], "hb")
        self.assertNotEqual(again["ref"], test["ref"])
        back.say("gauge", "", load="x0:1000;x1:1000")
        back.say("hb_ok", again["ref"], cause=1, load="x0:1000;x1:1000")
        for number in range(200):  # it is taken as cold: its first call may wait for its turn
            self.caller.invite(f"{number + 1024:016x}")
            back.say("gauge", "", load="x0:1000;x1:1000")  # or its connection would be left as mute
            if not back.silent(0.05):
                break
        self.assertEqual(back.read()["t"], "new")

    def test_a_test_that_nobody_answers_ends_and_another_follows(self) -> None:
        self.log_servers[0].reset()
        self.caller.invite("00000000000000a1")
        self.log_servers[1].read()
        back = self.log_servers[0] = LogServer(0, self.log_servers[0].port)
        back.accept()
        first, second = back.read(), back.read()
        self.assertEqual([first["t"], second["t"]], ["hb", "hb"])
        self.assertNotEqual(first["ref"], second["ref"])


class UntestedTest(PlatformCase):
    def test_nothing_is_tested_where_the_settings_do_not_allow_it(self) -> None:
        gone = self.log_servers[0]
        gone.reset()
        self.caller.invite("00000000000000a1")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000a1")
        back = LogServer(gone.number, gone.port)
        self.addCleanup(back.listener.close)
        # It has calls again instead: the next that names it, once it is no longer passed over.
        self.log_servers[1].say("up", "00000000000000a1", text="answer")
        self.caller.read()
        for number in range(100):
            self.caller.invite(f"{number + 1024:016x}")
            if back.sock is None:
                back.listener.settimeout(0.1)
                try:
                    back.accept()
                except TimeoutError:
                    pass
            if back.sock is not None and not back.silent(0.05):
                break
        self.assertEqual(back.read()["t"], "new")

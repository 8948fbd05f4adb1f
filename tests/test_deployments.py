"""What deployments differ in, on the platform's protocol: tenants, tests of log servers, gaps for callers."""

from __future__ import annotations

import copy
import json
from typing import Any

from support import SETTINGS, LogServer
from test_core import MS
from test_platform import PlatformCase

from mallowquay.settings import ConfigError, common


def settings_with(limits: dict[str, Any] | None = None, **more: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS) | more
    settings["limits"] |= limits or {}
    return settings


FEW, MANY = {"fraction": 0.1, "quotaPerS": 0.1}, {"fraction": 0.9, "quotaPerS": 100.0}


class TenantsTest(PlatformCase):
    servers = 1

    def more(self) -> dict[str, object]:
        return {"settings": settings_with(tenants=[{"name": "few", **FEW}, {"name": "many", **MANY}])}

    def ask(self, call_id: str, tenant: str | None) -> None:
        billed = [] if tenant is None else [f"P-Billed: {tenant}"]
        self.caller.send("INVITE", call_id, "P-Kind: log-lookup", "P-Time-Left: 3000",
                         "P-Path: dest:0;width:1;via:-1", *billed, body="offer\r\n")  # fmt: skip

    def hold_two(self, tenant: str) -> None:
        """Two set-ups stay unanswered: a log server of unknown capacity is sent no more."""
        for call_id in ("00000000000000a1", "00000000000000a2"):
            self.ask(call_id, tenant)
            self.assertEqual(self.log_servers[0].read()["ref"], call_id)

    def test_a_call_within_its_tenants_share_goes_before_one_beyond(self) -> None:
        self.hold_two("few")
        self.ask("00000000000000a3", "few")
        self.ask("00000000000000a4", "many")
        self.caller.send("OPTIONS", "p")
        self.caller.read()  # both have been taken, and are held
        self.log_servers[0].say("up", "00000000000000a1", text="answer")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a4")

    def test_within_a_share_the_first_that_came_goes_first(self) -> None:
        self.hold_two("many")
        self.ask("00000000000000a3", "many")
        self.ask("00000000000000a4", "many")
        self.caller.send("OPTIONS", "p")
        self.caller.read()
        self.log_servers[0].say("up", "00000000000000a1", text="answer")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a3")

    def test_a_tenant_that_the_settings_do_not_name(self) -> None:
        self.ask("00000000000000a1", "nobody")
        self.assertEqual(self.caller.read()[""][8:11], "400")
        self.ask("00000000000000a2", None)  # none is told: the call is nobody's, and goes
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a2")
        self.document["settings"]["tenants"].append({"name": "nobody", **FEW})
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.document, file)
        self.program.process.send_signal(1)
        self.program.wait_for("configuration_taken")
        self.ask("00000000000000a3", "nobody")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a3")

    def test_names_of_tenants_are_checked(self) -> None:
        for tenants, named in (
            ([FEW], "settings.tenants.0.name is missing"),
            ([{"name": "few", **FEW}] * 2, "settings.tenants: a name is given twice"),
            ("few", "settings.tenants must be list"),
            ([{"name": "few", **FEW, "fraction": 2}], "fraction must be from 0 to 1"),
        ):
            with self.subTest(named), self.assertRaisesRegex(ConfigError, named):
                common(settings_with(tenants=tenants), 1, 1024)


class NoGapTest(PlatformCase):
    servers = 1

    def more(self) -> dict[str, object]:
        return {"settings": settings_with({"retryAfter": False})}

    def test_callers_are_told_no_gap_where_the_settings_allow_none(self) -> None:
        self.caller.invite("00000000000000a1", left=700)
        self.log_servers[0].read()  # and never answers
        answer = self.caller.read()
        self.assertRegex(answer[""], "^SIP/2.0 5")
        self.assertNotIn("p-gap-ms", answer)

    def test_the_gaps_follow_the_settings(self) -> None:
        for limits, usual, away in (
            ({}, 1000, 500),
            ({"retryAfter": False}, 0, 0),
            ({"maxRetryAfter": 200_000}, 100, 200),  # no longer than callers heed
        ):
            config = common(settings_with(limits), 1, 1024)
            self.assertEqual((config.default_gap, config.terms.away_gap), (usual * MS, away * MS))


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

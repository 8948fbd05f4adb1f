"""Dialogs (RFC 3261, section 12): Call-ID and tags, CSeq order, route set and remote target."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from .message import Header, Message
from .transport import parameter, split_values

RECORDED = ("call_id", "local", "remote", "target", "local_seq", "remote_seq", "routes")

DialogId = tuple[str, str, str]  # Call-ID, local tag, remote tag


@dataclass(slots=True)
class Dialog:
    """One side of a dialog."""

    call_id: str
    local: str  # the whole From or To value of this side, with its tag
    remote: str
    target: str  # where requests go: the far side's Contact
    local_seq: int
    remote_seq: int | None
    routes: list[str] = field(default_factory=list)

    @property
    def id(self) -> DialogId:
        """What a request inside the dialog is matched by."""
        return (self.call_id, parameter(self.local, "tag"), parameter(self.remote, "tag"))

    def in_order(self, number: int) -> bool:
        """Whether a request of the far side comes in order; a number may skip, never go back."""
        if self.remote_seq is not None and number <= self.remote_seq:
            return False
        self.remote_seq = number
        return True

    def request(self, method: str, cseq: int | None = None) -> tuple[str, list[Header]]:
        """Request URI and headers of a request inside the dialog; an ACK names the INVITE's CSeq."""
        if cseq is None:
            self.local_seq += 1
            cseq = self.local_seq
        uri, routes = self.target, self.routes
        if routes and ";lr" not in routes[0]:  # a strict router comes first in the URI (12.2.1.1)
            uri, routes = uri_of(routes[0]), [*routes[1:], f"<{self.target}>"]
        headers = [("Route", route) for route in routes]
        headers += [
            ("Max-Forwards", "70"),
            ("From", self.local),
            ("To", self.remote),
            ("Call-ID", self.call_id),
            ("CSeq", f"{cseq} {method}"),
        ]
        return uri, headers

    def record(self) -> dict[str, object]:
        """All of it, for a copy: whoever has it can end the dialog."""
        return {name: getattr(self, name) for name in RECORDED}

    @classmethod
    def of_record(cls, record: Mapping[str, Any]) -> Dialog:
        """What `record` told. Errors: KeyError, TypeError."""
        return cls(**{name: record[name] for name in RECORDED})

    def next_hop(self) -> str:
        """The URI that says where a request is sent first."""
        return uri_of(self.routes[0]) if self.routes else self.target


def of_request(invite: Message, local_tag: str) -> Dialog:
    """The dialog that answering an INVITE makes."""
    to = invite.get("To")
    return Dialog(
        call_id=invite.get("Call-ID"),
        local=to if parameter(to, "tag") else f"{to};tag={local_tag}",
        remote=invite.get("From"),
        target=uri_of(invite.get("Contact")),
        local_seq=0,
        remote_seq=invite.cseq()[0],
        routes=split_values(invite.all("Record-Route")),
    )


def of_response(response: Message, default_target: str) -> Dialog:
    """The dialog that a 2xx to our INVITE makes."""
    contact = response.get("Contact")
    return Dialog(
        call_id=response.get("Call-ID"),
        local=response.get("From"),
        remote=response.get("To"),
        target=uri_of(contact) if contact else default_target,
        local_seq=response.cseq()[0],
        remote_seq=None,
        routes=split_values(response.all("Record-Route"))[::-1],
    )


def id_of_request(request: Message) -> DialogId:
    """The dialog that a request from the far side means."""
    return (
        request.get("Call-ID"),
        parameter(request.get("To"), "tag"),
        parameter(request.get("From"), "tag"),
    )


def uri_of(value: str) -> str:
    """The URI of an address header."""
    start = value.find("<")
    if start >= 0:
        return value[start + 1 : value.find(">", start)] if ">" in value[start:] else ""
    return value.partition(";")[0].strip()

"""The end of a call that another machine had set up: BYE on both of its dialogs, from here."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ...core.model import Ending
from .dialogs import Dialog
from .message import Message
from .transactions import ClientTransaction, NonInviteClient, Transactions
from .transport import Hop, hop_of

# The lost machine may have sent requests that no copy tells of; CSeq may skip but never go back (RFC
# 3261, 12.2.1.1).
SEQ_SKIPPED = 1000
CAUSE = 41  # Q.850: temporary failure; the call was lost, not ended by either side


class _Side:
    """Waits for the answer to one BYE."""

    def __init__(self, done: Callable[[bool], None]) -> None:
        self._done = done

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """Heard; 481 as well: the far side has no such call any more."""
        self._done(True)

    def unanswered(self, transaction: ClientTransaction, ending: Ending) -> None:
        """Nobody is there."""
        self._done(False)


def end_dialog(layer: Transactions, record: Mapping[str, Any], done: Callable[[bool], None]) -> None:
    """Send BYE on a dialog that a copy tells of; `done` hears whether it was answered.

    Errors: KeyError, TypeError, ValueError, if it is no such record.
    """
    dialog = Dialog.of_record(record)
    dialog.local_seq += SEQ_SKIPPED
    host, _, port = str(record["at"]).rpartition(":")
    default = Hop(str(record["transport"]), (host, int(port)))
    hop = hop_of(dialog.next_hop(), default.transport) or default
    if not layer.transport.serves(hop.transport):
        hop = default
    uri, headers = dialog.request("BYE")
    headers.append(("Reason", f"Q.850;cause={CAUSE}"))
    NonInviteClient(layer, "BYE", uri, headers, hop, _Side(done)).start()

"""Datagrams that were refused: the ICMP errors that Linux queues for a socket (`man 7 ip`, IP_RECVERR).

Without the queue nobody hears of a datagram to a port at which no process listens. With it the system also
returns the error once from whichever call on the socket comes next, whatever address that one is for.
"""

from __future__ import annotations

import errno
import socket
import struct

Address = tuple[str, int]

IP_RECVERR = 11  # linux/in.h; the socket module does not name it
ORIGIN_ICMP = 2  # SO_EE_ORIGIN_ICMP
ERROR = struct.Struct("=IB")  # the start of struct sock_extended_err: errno and origin
ANCILLARY_BYTES = 256
ERRORS_MAX = 8192  # more than the receive buffer of a socket has room for


def queue_refusals(sock: socket.socket) -> None:
    """Have the system keep the errors of this socket's datagrams."""
    sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)


def take_refusals(sock: socket.socket) -> set[Address]:
    """The addresses that have refused a datagram; the queue is empty afterwards."""
    refused: set[Address] = set()
    for _ in range(ERRORS_MAX):
        try:
            _, ancillary, _, address = sock.recvmsg(0, ANCILLARY_BYTES, socket.MSG_ERRQUEUE)
        except OSError:  # BlockingIOError: there are no more
            break
        for level, kind, data in ancillary:
            if level == socket.IPPROTO_IP and kind == IP_RECVERR and len(data) >= ERROR.size:
                number, origin = ERROR.unpack_from(data)
                if number == errno.ECONNREFUSED and origin == ORIGIN_ICMP:
                    refused.add(address)
    return refused

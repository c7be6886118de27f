"""Signed tickets, each for one request that must run at most once.

A ticket names the incarnation that issued it; no other may run its request.
"""

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from corianderspar import decoding
from corianderspar import kernel

MAC_BYTES = 16  # of HMAC-SHA-256, truncated
NONCE_BYTES = 9
SECRET_BYTES = 32
MAX_TICKET_CHARS = 512


class Ticket(NamedTuple):
    """Content of a ticket.

    Attributes
    ----------
    incarnation : str
        The one that issued it, and the only one that may run the request.
    nonce : str
        Identifies the ticket within its incarnation.
    account : str
        The client account it was issued to; empty for a route that needs
        no account.
    route : str
        Name of the route it was issued for.
    expires_at : float
        When it can no longer start its request, in seconds on that
        incarnation's monotonic clock.
    """

    incarnation: str
    nonce: str
    account: str
    route: str
    expires_at: float


class TicketSigner:
    """Signs the tickets of one incarnation and verifies them.

    Other daemons don't have the key and don't need it: only the incarnation
    that a ticket names may run its request.

    Parameters
    ----------
    incarnation : str
        The incarnation of this daemon.
    secret : bytes or None
        Key of the signature; by default a new random one, which is lost
        when the process ends.

    Examples
    --------
    >>> signer = TicketSigner('vm1/17/ab')
    >>> text = signer.issue('parish', 'orders', 60.0)
    >>> signer.verify(text).route
    'orders'
    >>> signer.verify(text[:-1] + ('A' if text[-1] != 'A' else 'B'))
    """

    def __init__(self, incarnation: str, secret: bytes | None = None) -> None:
        self._incarnation = incarnation
        self._secret = secret or secrets.token_bytes(SECRET_BYTES)

    def issue(self, account: str, route: str, expires_at: float) -> str:
        """Return a new ticket, encoded for use in an HTTP header.

        Parameters
        ----------
        account, route : str
            Client account and route that it is issued for.
        expires_at : float
            Seconds on this incarnation's monotonic clock.
        """
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        ticket = Ticket(self._incarnation, nonce, account, route, expires_at)
        content = msgspec.msgpack.encode(ticket)
        return _encode(content + self._mac(content))

    def verify(self, text: str) -> Ticket | None:
        """Return the ticket, or None if this incarnation did not issue it."""
        raw = _decode(text)
        if raw is None:
            return None
        content, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(content)):
            return None
        return _parse(content)

    def _mac(self, content: bytes) -> bytes:
        mac = hmac.new(self._secret, content, hashlib.sha256)
        return mac.digest()[:MAC_BYTES]


def parse(text: str) -> Ticket | None:
    """Return the content of a ticket without verifying its signature.

    Returns
    -------
    Ticket or None
        None if the text is not a ticket.

    Examples
    --------
    >>> text = TicketSigner('vm1/17/ab').issue('parish', 'orders', 60.0)
    >>> parse(text).incarnation
    'vm1/17/ab'
    >>> parse('nonsense')
    """
    raw = _decode(text)
    return None if raw is None else _parse(raw[:-MAC_BYTES])


def _parse(content: bytes) -> Ticket | None:
    try:
        ticket = msgspec.msgpack.decode(content, type=Ticket)
    except decoding.ERRORS:
        return None
    try:
        kernel.Incarnation.parse(ticket.incarnation)
    except ValueError:
        return None
    return ticket


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _decode(text: str) -> bytes | None:
    if len(text) > MAX_TICKET_CHARS:
        return None
    try:
        padding = '=' * (-len(text) % 4)
        raw = base64.b64decode(
            (text + padding).encode('ascii'), altchars=b'-_', validate=True
        )
    except (binascii.Error, UnicodeError):
        return None
    return raw if len(raw) > MAC_BYTES else None

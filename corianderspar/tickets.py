"""Signed tickets that name the one incarnation that may run a request."""

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from corianderspar import kernel

MAC_BYTES = 16
NONCE_BYTES = 9
SECRET_BYTES = 32
MAX_TICKET_CHARS = 512


class Ticket(NamedTuple):
    """What a ticket says.

    Attributes
    ----------
    incarnation : str
        The only one that may run the request.
    nonce : str
        Names the ticket within its incarnation.
    account : str
        The client account it was issued to; empty on open routes.
    route : str
        Name of the route it is for.
    expires_at : float
        End of its use, seconds on that incarnation's monotonic clock.
    """

    incarnation: str
    nonce: str
    account: str
    route: str
    expires_at: float


class TicketSigner:
    """Signs tickets of one incarnation and knows them again.

    No other daemon can check a ticket, and none needs to: only the
    incarnation that a ticket names may run its request.

    Parameters
    ----------
    incarnation : str
        Of this daemon.
    secret : bytes or None
        Key of the signature; by default a fresh random one, which dies
        with the process.

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
        """Return a new ticket as text that fits a header.

        Parameters
        ----------
        account, route : str
            Whom and what it is for.
        expires_at : float
            Seconds on this incarnation's monotonic clock.
        """
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        ticket = Ticket(self._incarnation, nonce, account, route, expires_at)
        content = msgspec.msgpack.encode(ticket)
        return _encode(content + self._mac(content))

    def verify(self, text: str) -> Ticket | None:
        """Return the ticket if this incarnation issued it."""
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
    """Return what a ticket says, unchecked; None for no ticket at all.

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
    except msgspec.MsgspecError:
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

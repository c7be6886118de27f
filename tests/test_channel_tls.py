"""Tests of mutual authentication between daemons, on real sockets."""

import asyncio
import datetime
import ipaddress

import cryptography.hazmat.primitives.asymmetric.ec as ec
import cryptography.hazmat.primitives.hashes as hashes
import cryptography.hazmat.primitives.serialization as serialization
import cryptography.x509 as x509
import cryptography.x509.oid as oid

from corianderspar import channel

BEGIN = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2120, 1, 1)
HOST = '127.0.0.1'
ROUNDS = 200


def make_name(name):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def make_certificate(subject, key, issuer, issuer_key, is_ca):
    address = x509.IPAddress(ipaddress.ip_address(HOST))
    names = [x509.DNSName(HOST), address]
    return (
        x509.CertificateBuilder()
        .subject_name(make_name(subject))
        .issuer_name(make_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(BEGIN)
        .not_valid_after(END)
        .add_extension(x509.BasicConstraints(is_ca, None), True)
        .add_extension(x509.SubjectAlternativeName(names), False)
        .sign(issuer_key, hashes.SHA256())
    )


def write_pem_files(folder, name, key, signed_certificate):
    folder.joinpath(f'{name}.key').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    folder.joinpath(f'{name}.pem').write_bytes(
        signed_certificate.public_bytes(serialization.Encoding.PEM)
    )


def make_files(folder):
    """Return the files of a daemon whose fleet has its own CA."""
    folder.mkdir()
    ca_key = ec.generate_private_key(ec.SECP256R1())
    key = ec.generate_private_key(ec.SECP256R1())
    ca = make_certificate('fleet', ca_key, 'fleet', ca_key, True)
    write_pem_files(folder, 'ca', ca_key, ca)
    write_pem_files(
        folder, 'vm', key, make_certificate(HOST, key, 'fleet', ca_key, False)
    )
    return channel.TlsFiles(
        folder / 'ca.pem', folder / 'vm.pem', folder / 'vm.key'
    )


def test_only_messages_of_fleet_members_are_received(tmp_path):
    ours = make_files(tmp_path / 'ours')
    other_fleet = make_files(tmp_path / 'other')
    # It trusts our CA, but its own certificate is signed by another one.
    foreign = channel.TlsFiles(
        ours.ca, other_fleet.certificate, other_fleet.key
    )

    async def main():
        listener = channel.NngChannel(f'{HOST}:0', ours)
        await listener.open()
        bound = listener._listener.listeners[0].local_address
        address = str(bound)
        senders = []
        for files, text in ((foreign, b'stranger'), (ours, b'member')):
            sender = channel.NngChannel(f'{HOST}:0', files)
            await sender.open()
            sender.connect('vm1', address)
            sender.send('vm1', text)
            senders.append(sender)
        received = [await asyncio.wait_for(listener.receive(), 30)]
        # Messages of a sender that was let in by mistake would be among these.
        for _round in range(ROUNDS):
            senders[-1].send('vm1', b'member')
            received.append(await asyncio.wait_for(listener.receive(), 30))
        for endpoint in (*senders, listener):
            await endpoint.close()
        return set(received)

    assert asyncio.run(main()) == {b'member'}

"""Self-signed certificates for tests."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LIFETIME = datetime.timedelta(days=1)


def write_certificate(folder: Path, name: str) -> tuple[Path, Path]:
    """Write a self-signed certificate for 127.0.0.1 and its key.

    Parameters
    ----------
    folder : Path
        Where the files are written.
    name : str
        Common name of the certificate and stem of the files.

    Returns
    -------
    tuple of Path
        Paths of the certificate and the key, both PEM.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    loopback = x509.IPAddress(ipaddress.IPv4Address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - LIFETIME)
        .not_valid_after(now + LIFETIME)
        .add_extension(x509.SubjectAlternativeName([loopback]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    certificate_file = folder / f"{name}.pem"
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file = folder / f"{name}.key"
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_file, key_file

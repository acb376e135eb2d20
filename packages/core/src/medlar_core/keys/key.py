"""Shared keys and their format in settings."""

import hashlib

import msgspec

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
MAX_KEYS = 2
KEY_ID_BYTES = 4

KeyId = bytes
"""Identifies a key on the wire; derived from its secret."""


class Key(msgspec.Struct, frozen=True):
    """A secret shared by all processes of the fleet."""

    secret: bytes

    @property
    def id(self) -> KeyId:
        """Return the id that each sealed message carries."""
        digest = hashlib.blake2b(
            self.secret, digest_size=KEY_ID_BYTES, person=b"medlar-key-id"
        )
        return digest.digest()

    def __repr__(self) -> str:
        """Show the id in place of the secret."""
        return f"Key({self.id.hex()})"


class InvalidKeys(msgspec.Struct, frozen=True):
    """Why a keys setting is invalid; the fields never contain a secret."""

    line: int
    got: str
    expected: str

    @property
    def text(self) -> str:
        """The error as one line of text."""
        at = f"key line {self.line}: " if self.line else "keys: "
        return f"{at}got {self.got}; expected {self.expected}"


def parse_keys(text: str) -> tuple[Key, ...] | InvalidKeys:
    """Parse a keys setting; the first key is the current one.

    Keys are hexadecimal, one per line or separated by commas. Empty lines
    and lines that start with ``#`` are ignored.
    """
    lines = [line.strip() for line in text.replace(",", "\n").split("\n")]
    keys: list[Key] = []
    for number, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        key = _parse(number, line)
        if isinstance(key, InvalidKeys):
            return key
        keys.append(key)
    if not 1 <= len(keys) <= MAX_KEYS:
        return InvalidKeys(0, f"{len(keys)} keys", f"1 to {MAX_KEYS}")
    if len({key.secret for key in keys}) < len(keys):
        return InvalidKeys(0, "the same key twice", "different keys")
    return tuple(keys)


def _parse(number: int, line: str) -> Key | InvalidKeys:
    expected = f"{MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes as hexadecimal"
    try:
        secret = bytes.fromhex(line)
    except ValueError:
        return InvalidKeys(number, "text that is not hexadecimal", expected)
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return InvalidKeys(number, f"{len(secret)} bytes", expected)
    return Key(secret)

"""What is wrong with a document, and what is allowed instead."""

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One fault of a document at the path of a field."""

    path: str
    got: str
    expected: str
    advice: str = ""

    @property
    def text(self) -> str:
        """The fault as one line for people."""
        line = f"{self.path}: got {self.got}; expected {self.expected}"
        return f"{line} ({self.advice})" if self.advice else line

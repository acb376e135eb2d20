"""Validation error of a document."""

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """One problem of a document, at the path of a field.

    ``got`` describes the actual value and ``expected`` the allowed ones;
    ``advice`` tells the operator how to correct it, or is empty.
    """

    path: str
    got: str
    expected: str
    advice: str = ""

    @property
    def text(self) -> str:
        """The problem as one readable line."""
        line = f"{self.path}: got {self.got}; expected {self.expected}"
        return f"{line} ({self.advice})" if self.advice else line

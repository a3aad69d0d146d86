"""The text of an answer while it is made, read from any character on."""

from bisect import bisect_right


class Transcript:
    """Pieces of text with their offsets in characters.

    Pieces are kept apart: joining them at each token would copy a long answer
    as often as it has tokens.

    Parameters
    ----------
    text
        What the caller has received already.

    Examples
    --------
    >>> transcript = Transcript("tank ")
    >>> transcript.append("is é")
    >>> transcript.append(" ok")
    >>> len(transcript), transcript.read(6)
    (12, 's é ok')
    """

    def __init__(self, text: str = "") -> None:
        self._pieces: list[str] = []
        self._starts: list[int] = []
        self._length = 0
        self.append(text)

    def __len__(self) -> int:
        return self._length

    def append(self, text: str) -> None:
        """Add a piece at the end."""
        if text:
            self._starts.append(self._length)
            self._pieces.append(text)
            self._length += len(text)

    def read(self, start: int) -> str:
        """Return the text from a character on.

        Parameters
        ----------
        start
            Characters to leave out; none are left when it is past the end.
        """
        if start >= self._length:
            return ""
        index = bisect_right(self._starts, start) - 1
        head = self._pieces[index][start - self._starts[index] :]
        return "".join((head, *self._pieces[index + 1 :]))

    def starts_with(self, text: str) -> bool:
        """Tell whether the text begins with another."""
        return len(text) <= self._length and self.whole().startswith(text)

    def whole(self) -> str:
        """Return the whole text."""
        if len(self._pieces) > 1:
            self._pieces = ["".join(self._pieces)]
            self._starts = [0]
        return self._pieces[0] if self._pieces else ""

"""The text of an answer during generation, readable from any character offset."""

from bisect import bisect_right


class Transcript:
    """Pieces of text with their offsets in characters.

    The pieces are stored separately, because joining them at each token would copy a
    long answer once for every token.

    Parameters
    ----------
    text
        Text that the caller has received already.

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
        """Append a piece of text."""
        if text:
            self._starts.append(self._length)
            self._pieces.append(text)
            self._length += len(text)

    def read(self, start: int) -> str:
        """Return the text from a character offset.

        Parameters
        ----------
        start
            The offset; the result is empty if it is past the end.
        """
        if start >= self._length:
            return ""
        index = bisect_right(self._starts, start) - 1
        head = self._pieces[index][start - self._starts[index] :]
        return "".join((head, *self._pieces[index + 1 :]))

    def starts_with(self, text: str) -> bool:
        """Tell whether the transcript starts with a text."""
        return len(text) <= self._length and self.whole().startswith(text)

    def whole(self) -> str:
        """Return the whole text, and store it as one piece from now on."""
        if len(self._pieces) > 1:
            self._pieces = ["".join(self._pieces)]
            self._starts = [0]
        return self._pieces[0] if self._pieces else ""

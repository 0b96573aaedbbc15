"""Answers that break the grammar of HTTP/1.1."""

import enum

__all__ = ('AnswerFault', 'MalformedAnswer')

_MAX_TEXT_CHARS = 60


class AnswerFault(enum.StrEnum):
    """What is malformed in an answer."""

    STATUS_LINE = 'status_line'
    FIELD_LINE = 'field_line'
    #: A length that is not one number, or that is told beside a coding.
    LENGTH = 'length'
    #: A coding other than one `chunked`, or any coding of HTTP/1.0.
    CODING = 'coding'
    #: Status 101 to a request that asks for no other protocol.
    PROTOCOL_SWITCH = 'protocol_switch'
    HEAD_SIZE = 'head_size'
    CHUNK = 'chunk'
    TRAILER = 'trailer'
    #: libcurl could not read the answer.
    UNREADABLE = 'unreadable'


class MalformedAnswer(Exception):
    r"""An answer that must not be passed on, nor believed in any part.

    `fault` says what is malformed, and `text` is the start of what came,
    printable.

        MalformedAnswer(AnswerFault.LENGTH, '1\t2').text  # "'1\\t2'"
    """

    def __init__(self, fault: AnswerFault, text: str = '') -> None:
        """Describe a fault with what came in its place."""
        self.fault = fault
        self.text = ascii(text[:_MAX_TEXT_CHARS]) if text else ''
        super().__init__(f'malformed answer: {fault} {self.text}'.rstrip())

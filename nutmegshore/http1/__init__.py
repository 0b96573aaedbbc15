"""Grammar of HTTP/1.1 that requests and answers share."""

from nutmegshore.http1.chunks import ChunkDecoder, MalformedChunk
from nutmegshore.http1.fields import TOKEN, is_field, parse_field_line

__all__ = (
    'TOKEN',
    'ChunkDecoder',
    'MalformedChunk',
    'is_field',
    'parse_field_line',
)

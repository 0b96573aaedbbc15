"""Parts of tests that run a whole entry over real sockets."""

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.testing import bind_unused_port

SETTINGS = """
[instance]
name = e1
region = west
availability_zone = west-a
[callers]
address = 127.0.0.1
port = {callers}
[operators]
port = {operators}
unauthenticated = yes
[lookup]
lifetime_seconds = 0
[platform]
url = http://127.0.0.1:{platform}
"""


async def call(method, url, spec=None):
    """Send a request with JSON; returns the answer, whatever its status."""
    request = HTTPRequest(
        url,
        method=method,
        body=None if spec is None else json.dumps(spec),
        allow_nonstandard_methods=True,
    )
    return await AsyncHTTPClient().fetch(request, raise_error=False)


async def until_ready(url):
    """Ask a page until it answers well."""
    async with asyncio.timeout(30):
        while (await call('GET', url)).error:
            await asyncio.sleep(0)


def free_port():
    """A port that nobody listens at."""
    sock, port = bind_unused_port()
    sock.close()
    return port

"""A small HTTP/1.1 server and client for the stand-ins, on asyncio and the standard library only."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit


class Request:
    """A request that was read completely."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.target = target
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body
        self.is_abandoned = lambda: False  # whether the sender has closed its connection

    def json(self):
        return json.loads(self.body)


class Response:
    """An answer. `stream` is an asynchronous generator of pieces, which are sent in chunks as they are made."""

    def __init__(self, status, body=b"", headers=None, stream=None):
        self.status = status
        self.body = body.encode() if isinstance(body, str) else body
        self.headers = headers or {}
        self.stream = stream

    @staticmethod
    def json(status, value):
        return Response(status, json.dumps(value), {"Content-Type": "application/json"})


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += piece
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """Serves `handler(request)` on a free port. A handler that returns None gets its connection closed unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 26)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        request = Request(method, target, headers, body)
        request.is_abandoned = lambda: reader.at_eof() or writer.is_closing()
        response = await self.handler(request)
        if response is None:
            return False
        lines = ["HTTP/1.1 %d %s" % (response.status, "Status")]
        lines += ["%s: %s" % pair for pair in response.headers.items()]
        if response.stream is None:
            lines.append("Content-Length: %d" % len(response.body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + response.body)
            await writer.drain()
            return True
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            async for piece in response.stream:
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
        finally:
            await response.stream.aclose()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """What a caller received: a complete answer, or `status` None with the reason in `error`."""

    def __init__(self, status=None, headers=None, body=b"", error=None):
        self.status, self.headers, self.body, self.error = status, headers or {}, body, error

    def json(self):
        return json.loads(self.body)

    def __str__(self):
        return str(self.status) if self.status else "no complete answer (%s)" % self.error


async def call(address, method, target, headers=None, body=b"", timeout=10.0):
    """One call on a new connection."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 26)
            lines = ["%s %s HTTP/1.1" % (method, target)]
            lines += ["%s: %s" % pair for pair in (headers or {}).items()]
            lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, answered = await read_head(reader)
            content = await read_body(reader, answered)
            return Answer(int(first.split(" ")[1]), answered, content)
    except TimeoutError:
        return Answer(error="timed out" if writer else "not connected")
    except asyncio.IncompleteReadError:
        return Answer(error="the connection ended")
    except OSError as error:
        return Answer(error="connection: %s" % type(error).__name__ if writer else "not connected")
    finally:
        if writer:
            writer.close()

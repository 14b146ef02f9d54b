"""A loopback proxy that harms connections from outside the programs."""

import asyncio
import random
import socket
import struct


def reset(writer):
    """Breaks a connection at once. Closing alone ends it in an orderly way, behind which an answer may look whole."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:  # not closed yet
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Proxy:
    """Forwards bytes to one address. Modes: "" (as it is), "delay", "silent" (both ways), "one_way" (nothing returns),
    "reset" (each connection breaks at once), "drop" (some connections break while in use)."""

    def __init__(self, target_port, seed):
        self.target_port = target_port
        self.mode = ""
        self.random = random.Random(seed)
        self.pairs = set()
        self.port = 0
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Nobody listens any more, as when the process behind it has ended."""
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(self._pump(reader, far_writer, False), self._pump(far_reader, writer, True))
        self.pairs.discard(pair)

    async def _pump(self, reader, writer, returning):
        try:
            while True:
                data = await reader.read(65536)
                while self.mode == "silent" or (self.mode == "one_way" and returning):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.02 + 0.1 * self.random.random())
                if self.mode == "drop" and self.random.random() < 0.05:
                    reset(writer)
                    return
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            reset(writer)
        writer.close()

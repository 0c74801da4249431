"""The links between the programs of a soak run, with faults.

The programs learn each other's addresses from rows of the store and from each
other. Each process is shown, for every other process, the address of a proxy
that serves this pair only, so that a fault holds for a link by itself and for
the connections that are open on it."""

import asyncio
import contextlib
import dataclasses
import re
import socket
import struct

import harness

CHUNK_BYTES = 65536
# From the process that opens the connections, and to it.
THERE, BACK = "there", "back"
BOTH = (THERE, BACK)


@dataclasses.dataclass(eq=False)
class LinkFault:
    """A "cut" forwards nothing and closes nothing, "delay" holds bytes for
    `delay_s`, "reset" breaks the connections off, also new ones."""

    kind: str
    directions: tuple = BOTH
    delay_s: float = 0


def break_off(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """Carries the connections that the process `source` opens to `target`.
    What a cut holds is delivered after it, unless the connection has ended."""

    def __init__(self, network, source, target):
        self.network = network
        self.source = source
        self.target = target
        self.faults = network.faults.setdefault((source, target), [])
        self.changed = asyncio.Event()
        self.writers = set()
        # Listens at once: the address is about to be handed out.
        listener = socket.create_server((harness.HOST, harness.free_port()))
        self.port = listener.getsockname()[1]
        self.starting = asyncio.ensure_future(
            asyncio.start_server(self.serve, sock=listener))

    def update(self):
        """Notes that the faults have changed."""
        self.changed.set()
        self.changed = asyncio.Event()
        if any(it.kind == "reset" for it in self.faults):
            self.reset()

    def reset(self):
        for it in list(self.writers):
            break_off(it)

    async def passage(self, direction):
        """Waits until bytes may pass."""
        while True:
            here = [it for it in self.faults if direction in it.directions]
            if not any(it.kind == "cut" for it in here):
                break
            await self.changed.wait()
        delay_s = max((it.delay_s for it in here), default=0)
        if delay_s:
            await asyncio.sleep(delay_s)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        far = None
        try:
            if any(it.kind == "reset" for it in self.faults):
                raise ConnectionResetError
            first = await self.opening(reader)
            if first is None:
                raise ConnectionResetError
            far_reader, far = await self.connect()
            self.writers.add(far)
            far.write(self.network.translate(self.target, first))
            pumps = [asyncio.ensure_future(it) for it in (
                self.pump(THERE, reader, far, self.target),
                self.pump(BACK, far_reader, writer, self.source))]
            ended, others = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED)
            for it in others:
                it.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            for it in ended:
                it.result()
            far.close()
            writer.close()
        except OSError:
            for it in (writer, far):
                if it is not None:
                    break_off(it)
        finally:
            self.writers -= {writer, far}

    async def connect(self):
        try:
            return await asyncio.open_connection(
                harness.HOST, self.network.ports[self.target])
        except OSError:
            await self.passage(BACK)
            raise

    async def opening(self, reader):
        """Waits until a new connection may pass.
        @return what has been sent on it meanwhile, or None if its opener has
        given up."""
        first = bytearray()

        async def collect():
            while data := await reader.read(CHUNK_BYTES):
                first.extend(data)

        collecting = asyncio.ensure_future(collect())
        passing = asyncio.ensure_future(self.passage(THERE))
        await asyncio.wait([collecting, passing],
                           return_when=asyncio.FIRST_COMPLETED)
        given_up = collecting.done()
        for it in (collecting, passing):
            it.cancel()
        await asyncio.gather(collecting, passing, return_exceptions=True)
        return None if given_up else bytes(first)

    async def pump(self, direction, reader, writer, viewer):
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                await self.passage(direction)
                raise
            # The end of a connection doesn't pass a cut either.
            await self.passage(direction)
            if not data:
                return
            writer.write(self.network.translate(viewer, data))
            await writer.drain()


class Network:
    """The links of all processes. Only callers open connections."""

    def __init__(self):
        # The port at which each process listens for the others.
        self.ports = {}
        self.callers = set()
        self.names = {}
        self.links = {}
        self.faults = {}
        self.pattern = re.compile(
            re.escape(harness.HOST).encode() + rb":(\d{5})(?!\d)")

    def add(self, name, port, calls):
        """@param calls true if the process opens connections to others."""
        self.ports[name] = port
        self.names[port] = name
        if calls:
            self.callers.add(name)

    def port_for(self, viewer, name):
        """@return the port at which `viewer` reaches `name`; the own one if
        no proxy stands between."""
        if viewer not in self.callers or viewer == name:
            return self.ports[name]
        pair = viewer, name
        if pair not in self.links:
            self.links[pair] = Link(self, viewer, name)
            self.names[self.links[pair].port] = name
        return self.links[pair].port

    def translate(self, viewer, data):
        """@return the bytes with the addresses that `viewer` is to see; ""
        sees the addresses at which the processes listen."""
        def replace(match):
            name = self.names.get(int(match[1]))
            return match[0] if name is None else (
                f"{harness.HOST}:{self.port_for(viewer, name)}".encode())
        return self.pattern.sub(replace, data)

    def between(self, ones, others):
        """@return the links by which processes of two groups call each
        other, as pairs of names."""
        pairs = [pair for one in ones for other in others
                 for pair in ((one, other), (other, one))
                 if one != other and pair[0] in self.callers]
        return list(dict.fromkeys(pairs))

    @contextlib.contextmanager
    def impaired(self, pairs, fault, reset_after=False):
        """Holds a fault on links.
        @param reset_after breaks their connections off at the end, so that
        nothing that was held is delivered."""
        for pair in pairs:
            self.faults.setdefault(pair, []).append(fault)
        links = [self.links[it] for it in pairs if it in self.links]
        for it in links:
            it.update()
        try:
            yield
        finally:
            links = [self.links[it] for it in pairs if it in self.links]
            if reset_after:
                for it in links:
                    it.reset()
            for pair in pairs:
                self.faults[pair].remove(fault)
            for it in links:
                it.update()

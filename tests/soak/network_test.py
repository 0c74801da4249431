"""Shows that the faults of a link hold, also on connections that are open, and
those of an executor."""

import asyncio
import pathlib
import random
import sys
import types
import unittest
import unittest.mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
import harness  # noqa: E402
from network import BACK, THERE, LinkFault, Network  # noqa: E402
from standins import SoakExecutor, SoakStore  # noqa: E402

SOON_S = 0.2


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.network = Network()
        self.seen = b""
        self.accepted = 0
        self.opened = []
        port = harness.free_port()
        self.network.add("edge-0", harness.free_port(), True)
        self.network.add("edge-1", harness.free_port(), True)
        self.network.add("side-0", port, False)
        self.server = await asyncio.start_server(
            self.echo, harness.HOST, port)
        self.pair = ("edge-0", "side-0")

    async def asyncTearDown(self):
        self.server.close()
        for link in self.network.links.values():
            (await link.starting).close()
            link.reset()
        for it in self.opened:
            it.close()
        await asyncio.sleep(0.05)

    async def echo(self, reader, writer):
        self.accepted += 1
        try:
            while data := await reader.read(100):
                self.seen += data
                writer.write(data)
        except ConnectionResetError:
            pass
        writer.close()

    async def open(self):
        connection = await asyncio.open_connection(
            harness.HOST, self.network.port_for(*self.pair))
        self.opened.append(connection[1])
        return connection

    async def answer(self, connection, data):
        """@return what comes back soon; None if nothing does."""
        reader, writer = connection
        if data:
            writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(100), SOON_S)
        except asyncio.TimeoutError:
            return None

    async def test_cut_holds_on_an_open_connection(self):
        kept = await self.open()
        self.assertEqual(await self.answer(kept, b"a"), b"a")
        with self.network.impaired([self.pair], LinkFault("cut")):
            self.assertIsNone(await self.answer(kept, b"b"))
            self.assertEqual(self.seen, b"a")
        self.assertEqual(await self.answer(kept, b""), b"b")

    async def test_new_connection_does_not_pass_a_cut(self):
        with self.network.impaired([self.pair], LinkFault("cut")):
            given_up = await self.open()
            self.assertIsNone(await self.answer(given_up, b"a"))
            given_up[1].close()
            kept = await self.open()
            self.assertIsNone(await self.answer(kept, b"b"))
            self.assertEqual(self.accepted, 0)
        self.assertEqual(await self.answer(kept, b""), b"b")
        self.assertEqual((self.seen, self.accepted), (b"b", 1))

    async def test_one_way_silence(self):
        kept = await self.open()
        with self.network.impaired([self.pair], LinkFault("cut", (BACK,))):
            self.assertIsNone(await self.answer(kept, b"a"))
            self.assertEqual(self.seen, b"a")
        self.assertEqual(await self.answer(kept, b""), b"a")
        with self.network.impaired([self.pair], LinkFault("cut", (THERE,))):
            self.assertIsNone(await self.answer(kept, b"b"))
            self.assertEqual(self.seen, b"a")

    async def test_end_of_a_connection_does_not_pass_a_cut(self):
        kept = await self.open()
        self.assertEqual(await self.answer(kept, b"a"), b"a")
        with self.network.impaired([self.pair], LinkFault("cut")):
            for it in list(self.network.links[self.pair].writers):
                if it.get_extra_info("peername")[1] == (
                        self.network.ports["side-0"]):
                    it.transport.abort()
            self.assertIsNone(await self.answer(kept, b""))
        self.assertEqual(await self.answer(kept, b""), b"")

    async def test_reset_breaks_open_and_new_connections_off(self):
        kept = await self.open()
        self.assertEqual(await self.answer(kept, b"a"), b"a")
        with self.network.impaired([self.pair], LinkFault("reset")):
            for connection in (kept, await self.open()):
                with self.assertRaises(ConnectionResetError):
                    await self.answer(connection, b"")
        self.assertEqual(await self.answer(await self.open(), b"b"), b"b")

    async def test_delay_holds_bytes(self):
        kept = await self.open()
        fault = LinkFault("delay", (THERE,), 1.5 * SOON_S)
        with self.network.impaired([self.pair], fault):
            self.assertIsNone(await self.answer(kept, b"a"))
            self.assertEqual(await self.answer(kept, b""), b"a")

    async def test_faults_of_a_link_overlap(self):
        kept = await self.open()
        with self.network.impaired([self.pair], LinkFault("cut")):
            with self.network.impaired([self.pair], LinkFault("cut")):
                pass
            self.assertIsNone(await self.answer(kept, b"a"))

    async def test_each_sees_the_addresses_of_its_own_links(self):
        def text(viewer, name):
            port = self.network.port_for(viewer, name)
            return f"[{harness.HOST}:{port}]".encode()
        own = text("edge-0", "edge-0")
        self.assertEqual(own, text("side-0", "edge-0"))
        shown = text("edge-1", "edge-0")
        self.assertNotEqual(own, shown)
        self.assertEqual(self.network.translate("edge-1", own), shown)
        for viewer in ("edge-0", "side-0", ""):
            self.assertEqual(self.network.translate(viewer, shown), own)

    async def test_rows_of_the_store_hold_the_true_addresses(self):
        store = SoakStore(types.SimpleNamespace(add=lambda *_, **__: None),
                          None, self.network)
        true = f"{harness.HOST}:{self.network.ports['side-0']}"
        shown = f"{harness.HOST}:{self.network.port_for(*self.pair)}"

        def row(address):
            return {"table": "agents", "part": "p", "key": "side-0", "value":
                    harness.base64.b64encode(address.encode()).decode()}
        await store.serve("edge-0", harness.Request(
            "POST", "/rows-tx", {}, harness.json.dumps(
                {"writes": [row(shown)]})))
        for viewer, address in (("edge-0", shown), ("side-0", true)):
            _, answer = await store.serve(viewer, harness.Request(
                "GET", "/rows-get?table=agents&part=p", {}, b""))
            self.assertEqual(answer["rows"][0]["value"],
                             row(address)["value"])


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    async def test_crashed_process_carries_out_nothing(self):
        cluster = unittest.mock.MagicMock()
        cluster.history.jobs = {}
        executor = SoakExecutor(cluster, "side-0", {}, [], random.Random(1))
        executor.control_port = harness.free_port()
        await executor.start()
        body = {"task": "j.0.0.0", "run": 1, "fencingToken": 1,
                "deadlineMs": executor.clock() + 5000}
        request = types.SimpleNamespace(path="/run-start", headers={},
                                        json=lambda: body)
        await executor.crash()
        self.assertIsNone(await executor.handle(request))
        self.assertEqual({}, executor.runs)


if __name__ == "__main__":
    unittest.main()

"""A store in memory that speaks the users' protocol, on loopback."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

FEED_INTERVAL_S = 0.05
MAX_FEED_WAIT_S = 1


class Store:
    """Rows by (table, part, key), as (version, value, deleted)."""

    def __init__(self):
        self.lock = threading.Lock()
        self.version = 1
        self.rows = {}

    def put(self, table, part, key, value):
        with self.lock:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, value, False)

    def commit(self, body):
        with self.lock:
            current = [(self._at(row), row["ver"]) for row in body["expected"]]
            if any(self._version(at) != ver for at, ver in current):
                return 412, {"rows": [self._row(at) for at, _ in current
                                      if self._version(at) != 0]}
            self.version += 1
            for row in body["writes"]:
                value = base64.b64decode(row["value"])
                self.rows[self._at(row)] = (self.version, value, False)
            for row in body["remove"]:
                self.rows[self._at(row)] = (self.version, b"", True)
            return 200, {"ver": self.version}

    def read(self, table, part, start):
        with self.lock:
            rows = [self._row(at) for at in sorted(self.rows)
                    if at[:2] == (table, part) and at[2] >= start
                    and self._version(at) != 0]
            return {"ver": self.version, "rows": rows, "hasMore": False}

    def changes(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            with self.lock:
                changed = [at for at, row in self.rows.items()
                           if at[0] == table and row[0] > after]
                if changed or time.monotonic() >= deadline:
                    changed.sort(key=lambda at: self.rows[at][0])
                    return {"ver": self.version,
                            "rows": [self._row(at) for at in changed]}
            time.sleep(FEED_INTERVAL_S)

    @staticmethod
    def _at(row):
        return row["table"], row["part"], row["key"]

    def _version(self, at):
        version, _, deleted = self.rows.get(at, (0, b"", True))
        return 0 if deleted else version

    def _row(self, at):
        version, value, deleted = self.rows[at]
        return {"table": at[0], "part": at[1], "key": at[2], "ver": version,
                "value": base64.b64encode(value).decode(), "deleted": deleted}


def serve(store):
    """Serves the store from a thread; returns its port."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self, status, body):
            text = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        def do_POST(self):
            length = int(self.headers["Content-Length"])
            self.answer(*store.commit(json.loads(self.rfile.read(length))))

        def do_GET(self):
            url = urllib.parse.urlsplit(self.path)
            query = {name: values[0] for name, values in
                     urllib.parse.parse_qs(url.query).items()}
            if url.path == "/rows-feed":
                wait_s = min(int(query["waitMs"]) / 1000, MAX_FEED_WAIT_S)
                return self.answer(200, store.changes(
                    query["table"], int(query["after"]), wait_s))
            self.answer(200, store.read(query["table"], query.get("part", ""),
                                        query.get("from", "")))

        def log_message(self, *args):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_port

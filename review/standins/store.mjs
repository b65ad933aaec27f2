// Stand-in for the platform's metadata store: rows, transactions and the change feed, as PROTOCOL.md describes them.
import { createServer } from "node:http";

const feedPollMs = 10;

const readJson = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString() || "{}");
};

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const keyOf = ({ table, part = "", key }) => `${table}\n${part}\n${key}`;

const toWire = row => row.value === undefined
    ? { table: row.table, part: row.part, key: row.key, ver: row.ver, deleted: true }
    : { table: row.table, part: row.part, key: row.key, ver: row.ver, value: row.value };

/** Starts the store on a free loopback port. */
export const startStore = async () => {
    const rows = new Map();
    let ver = 0;
    const nowMs = () => Math.round(performance.now() + 1_000_000);
    const apply = (puts, removals) => {
        ver++;
        puts.forEach(({ table, part = "", key, value }) => rows.set(keyOf({ table, part, key }), { table, part, key, value, ver }));
        removals.forEach(({ table, part = "", key }) => rows.set(keyOf({ table, part, key }), { table, part, key, value: undefined, ver }));
    };
    const versionOf = name => {
        const row = rows.get(keyOf(name));
        return row?.value === undefined ? 0 : row.ver;
    };
    const inTable = table => [...rows.values()].filter(row => row.table === table).sort((a, b) => a.key < b.key ? -1 : 1);
    const handlers = {
        "GET /api/rows-get": url => {
            const from = url.searchParams.get("from") ?? "";
            const target = url.searchParams.get("target");
            const limit = Number(url.searchParams.get("limit") ?? 500);
            const part = url.searchParams.get("part") ?? "";
            const found = inTable(url.searchParams.get("table")).filter(row =>
                row.value !== undefined && row.part === part && row.key >= from && (target === null || row.key < target)
            );
            return [200, { rows: found.slice(0, limit).map(toWire), hasMore: found.length > limit, ver, nowMs: nowMs() }];
        },
        "GET /api/rows-feed": async url => {
            const after = Number(url.searchParams.get("after"));
            const endsAt = performance.now() + Number(url.searchParams.get("waitMs") ?? 0);
            for (;;) {
                const changed = inTable(url.searchParams.get("table")).filter(row => row.ver > after).sort((a, b) => a.ver - b.ver);
                if (changed.length > 0 || performance.now() >= endsAt) {
                    return [200, { rows: changed.map(toWire), ver, nowMs: nowMs() }];
                }
                await sleep(feedPollMs);
            }
        },
        "POST /api/rows-tx": async (_url, req) => {
            const { expected = [], puts = [], remove = [] } = await readJson(req);
            if (puts.concat(remove).some(({ table }) => table === "op" || table === "servers")) {
                return [403, {}];
            }
            if (expected.some(name => versionOf(name) !== name.ver)) {
                const current = expected.map(name => rows.get(keyOf(name))).filter(row => row?.value !== undefined);
                return [412, { rows: current.map(toWire), ver, nowMs: nowMs() }];
            }
            apply(puts, remove);
            return [200, { ver, nowMs: nowMs() }];
        },
    };
    const servers = [];
    /** Serves the store at a further address; `link` replaces addresses of runners by those at which one machine's own link reaches them. */
    const listen = async (link = new Map()) => {
        const throughLink = ({ rows: found, ...rest }) => found === undefined ? rest : {
            ...rest,
            rows: found.map(row => {
                if (row.table !== "servers" || row.value === undefined) {
                    return row;
                }
                const text = [...link].reduce((value, [from, to]) => value.replaceAll(from, to), Buffer.from(row.value, "base64").toString());
                return { ...row, value: Buffer.from(text).toString("base64") };
            }),
        };
        const server = createServer((req, res) => {
            const url = new URL(req.url, "http://store");
            const handler = handlers[`${req.method} ${url.pathname}`] ?? (() => [404, {}]);
            Promise.resolve(handler(url, req)).then(([status, body]) => {
                res.writeHead(status, { "Content-Type": "application/json" });
                res.end(JSON.stringify(throughLink(body)));
            }).catch(() => res.destroy());
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        servers.push(server);
        return `127.0.0.1:${server.address().port}`;
    };
    return {
        address: await listen(),
        listen,
        /** Writes a row as the operator or a runner does. */
        put: (table, key, value) =>
            apply([{ table, part: "", key, value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64") }], []),
        remove: (table, key) => apply([], [{ table, part: "", key }]),
        close: () =>
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            }),
    };
};

import { createServer, request } from "node:http";

/** A balancer that passes each request to the next node that says it is ready. */
export const startBalancer = (port: number, nodeUrls: readonly string[]) => {
    let next = 0;
    const ready = new Set(nodeUrls);
    const probe = async (url: string) => {
        const isReady = await fetch(`${url}/readyz`).then(res => res.ok, () => false);
        ready[isReady ? "add" : "delete"](url);
    };
    setInterval(() => nodeUrls.forEach(url => void probe(url)), 500).unref();
    const server = createServer((req, res) => {
        const urls = [...ready];
        const target = new URL(req.url ?? "/", urls[next++ % Math.max(1, urls.length)] ?? nodeUrls[0]);
        const out = request(target, { method: req.method, headers: req.headers }, answer => {
            res.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(res);
        });
        out.on("error", () => res.destroy());
        res.on("close", () => out.destroy());
        req.pipe(out);
    });
    return new Promise<typeof server>(resolve => server.listen(port, "127.0.0.1", () => resolve(server)));
};

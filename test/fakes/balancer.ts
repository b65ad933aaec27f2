import { createServer, request } from "node:http";

/** Starts a round-robin load balancer over the nodes whose readiness endpoint answers 200. If none is ready, requests go to the first node. */
export const startBalancer = (port: number, nodeUrls: readonly string[]) => {
    let next = 0;
    const readyUrls = new Set(nodeUrls);
    const probe = async (url: string) => {
        const isReady = await fetch(`${url}/readyz`).then(res => res.ok, () => false);
        readyUrls[isReady ? "add" : "delete"](url);
    };
    setInterval(() => nodeUrls.forEach(url => void probe(url)), 500).unref();
    const server = createServer((req, res) => {
        const urls = [...readyUrls];
        const target = new URL(req.url ?? "/", urls[next++ % Math.max(1, urls.length)] ?? nodeUrls[0]);
        const outgoing = request(target, { method: req.method, headers: req.headers }, answer => {
            res.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(res);
        });
        outgoing.on("error", () => res.destroy());
        res.on("close", () => outgoing.destroy());
        req.pipe(outgoing);
    });
    return new Promise<typeof server>(resolve => server.listen(port, "127.0.0.1", () => resolve(server)));
};

import { request } from "node:http";

/** Sends a request and discards its answer; resolves at the end of either, however it ends. `callGateway` would keep and join all that arrives. */
export const drainAnswer = (address: string, path: string, headers: Readonly<Record<string, string>> = {}): Promise<void> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const requestHeaders = { host: "shop.example", "attempt-id": "id-1", "deadline-ms": "3000", ...headers };
        const req = request({ host, port, method: "POST", path, headers: requestHeaders, agent: false }, res => {
            res.resume();
            res.once("close", () => resolve());
        });
        req.on("error", () => resolve());
        req.end();
    });

import { serveJson, StatusResponse } from "./jsonServer";

/** Serves a weight store that answers 429 beyond a number of fetches per second. */
export const startWeightStore = (port: number, fetchesPerSecond: number) => {
    let servedThisSecond = 0;
    setInterval(() => servedThisSecond = 0, 1_000).unref();
    return serveJson(port, { "GET /weights/": () => ++servedThisSecond > fetchesPerSecond ? new StatusResponse(429) : { ok: true } });
};

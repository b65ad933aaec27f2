import { serveJson, StatusResponse } from "./jsonServer";

/** A weight store that serves so many fetches a second and refuses the rest. */
export const startWeightStore = (port: number, fetchesPerSecond: number) => {
    let served = 0;
    setInterval(() => served = 0, 1_000).unref();
    return serveJson(port, { "GET /weights/": () => ++served > fetchesPerSecond ? new StatusResponse(429) : { ok: true } });
};

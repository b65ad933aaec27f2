import { alreadyAnswered, serveJson, StatusResponse } from "./jsonServer";

/** Serves a plain service that counts runs by idempotency key and records a violation when a call with a key runs twice. */
export const startService = (port: number) => {
    const runsByKey = new Map<string, number>();
    const violations: string[] = [];
    const faults = { resetAfterRun: 0, refuseNext: 0, slowMs: 0 };
    return serveJson(port, {
        "POST /reservations": async ({ body, req, res }) => {
            if (faults.refuseNext > 0) {
                faults.refuseNext--;
                res.setHeader("jackdawtrail-verdict", "not-run");
                return new StatusResponse(503, { error: "closing" });
            }
            const key = String(req.headers["idempotency-key"] ?? "");
            const count = (runsByKey.get(key) ?? 0) + 1;
            runsByKey.set(key, count);
            if (key !== "" && count > 1) {
                violations.push(`${key} ran ${count} times`);
            }
            await new Promise(resolve => setTimeout(resolve, faults.slowMs));
            if (faults.resetAfterRun > 0) {
                faults.resetAfterRun--;
                res.destroy();
                return alreadyAnswered;
            }
            return { reserved: true, bundle: (body as { bundle?: string; }).bundle, run: count };
        },
        "GET /stock": () => ({ blankets: 40 }),
        "POST /control": ({ body }) => Object.assign(faults, body),
        "GET /witness": () => ({ violations, runs: Object.fromEntries(runsByKey) }),
    });
};

import { FailureError } from "../../src/core/failures";
import type { TableCommit } from "../../src/types/table";
import { Verdict } from "../../src/types/verdict";
import type { Vm } from "../../src/types/vm";
import type { Handler } from "./jsonServer";
import { alreadyAnswered, serveJson, StatusResponse } from "./jsonServer";
import type { TableFaults } from "./memoryTable";
import { MemoryTable } from "./memoryTable";

/** Time until the VM list shows a change. */
const vmListLagMs = 500;

/** Serves the infrastructure of standalone nodes over HTTP: a table, an object store and a VM list that lags. */
export const startStandaloneInfrastructure = async (port: number) => {
    const table = MemoryTable.create();
    const objects = new Map<string, unknown>();
    const currentVms = new Map<string, Vm>();
    const listedVms = new Map<string, Vm>();
    const faults = { listStaysUp: false };
    let vmListVersion = 0;
    const withFaultResponses = (handler: Handler): Handler => async call => {
        try {
            return await handler(call);
        }
        catch (err) {
            if (err instanceof FailureError && err.failure.verdict === Verdict.MayHaveRun) {
                call.res.destroy();
                return alreadyAnswered;
            }
            return new StatusResponse(503);
        }
    };
    return serveJson(port, {
        "GET /rows/": withFaultResponses(({ url }) => table.read(decodeURIComponent(url.pathname.slice(6)))),
        "GET /rows": withFaultResponses(({ url: { searchParams } }) =>
            table.list(searchParams.get("prefix")!, searchParams.get("after") ?? "", Number(searchParams.get("limit")))
        ),
        "POST /commits": withFaultResponses(({ body }) => table.commit(body as TableCommit)),
        "GET /objects/": ({ url }) => table.faults.down ? new StatusResponse(503) : objects.get(url.pathname.slice(9)) ?? new StatusResponse(404),
        "PUT /objects/": ({ body, url }) => table.faults.down ? new StatusResponse(503) : objects.set(url.pathname.slice(9), body).size,
        "GET /vms": ({ req, res }) => {
            const etag = `"${vmListVersion}"`;
            res.setHeader("etag", etag);
            return table.faults.down && !faults.listStaysUp
                ? new StatusResponse(503)
                : req.headers["if-none-match"] === etag
                ? new StatusResponse(304, undefined)
                : [...listedVms.values()];
        },
        "POST /control": ({ body }) => Object.assign(faults, Object.assign(table.faults, body as Partial<TableFaults>)),
        "POST /control/vms": ({ body }) => {
            for (const vm of body as Vm[]) {
                currentVms.set(vm.id, vm);
                setTimeout(() => {
                    listedVms.set(vm.id, currentVms.get(vm.id)!);
                    vmListVersion++;
                }, vmListLagMs);
            }
            return {};
        },
        "GET /witness": () => ({ violations: [], ...table.counts }),
    });
};

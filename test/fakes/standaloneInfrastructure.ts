import { FailureError } from "../../src/core/failures";
import type { TableCommit } from "../../src/types/table";
import { Verdict } from "../../src/types/verdict";
import type { Vm } from "../../src/types/vm";
import type { Handler } from "./jsonServer";
import { alreadyAnswered, serveJson, StatusResponse } from "./jsonServer";
import type { TableFaults } from "./memoryTable";
import { MemoryTable } from "./memoryTable";

/** Lag of the VM list. */
const listLagMs = 500;

/** The platform as a process: table, object store and lagging VM list. */
export const startStandaloneInfrastructure = async (port: number) => {
    const table = MemoryTable.create();
    const objects = new Map<string, unknown>();
    const vms = new Map<string, Vm>();
    const listed = new Map<string, Vm>();
    const faults = { listStaysUp: false };
    let listVersion = 0;
    const guard = (handler: Handler): Handler => async call => {
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
        "GET /rows/": guard(({ url }) => table.read(decodeURIComponent(url.pathname.slice(6)))),
        "GET /rows": guard(({ url: { searchParams } }) =>
            table.list(searchParams.get("prefix")!, searchParams.get("after") ?? "", Number(searchParams.get("limit")))
        ),
        "POST /commits": guard(({ body }) => table.commit(body as TableCommit)),
        "GET /objects/": ({ url }) => table.faults.down ? new StatusResponse(503) : objects.get(url.pathname.slice(9)) ?? new StatusResponse(404),
        "PUT /objects/": ({ body, url }) => table.faults.down ? new StatusResponse(503) : objects.set(url.pathname.slice(9), body).size,
        "GET /vms": ({ req, res }) => {
            const etag = `"${listVersion}"`;
            res.setHeader("etag", etag);
            return table.faults.down && !faults.listStaysUp
                ? new StatusResponse(503)
                : req.headers["if-none-match"] === etag
                ? new StatusResponse(304, undefined)
                : [...listed.values()];
        },
        "POST /control": ({ body }) => Object.assign(faults, Object.assign(table.faults, body as Partial<TableFaults>)),
        "POST /control/vms": ({ body }) => {
            for (const vm of body as Vm[]) {
                vms.set(vm.id, vm);
                setTimeout(() => {
                    listed.set(vm.id, vms.get(vm.id)!);
                    listVersion++;
                }, listLagMs);
            }
            return {};
        },
        "GET /witness": () => ({ violations: [], ...table.counts }),
    });
};
